package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// SimulateCentralQueue returns how many requests one central queue for the bottleneck
// pool would answer in time: earliest deadline first, with every slot available to
// every request, no other stage and no network delay. Requests that don't use the
// pool count as answered.
func SimulateCentralQueue(d Deployment, s Scenario, trace []Arrival, seed uint64, rule StartRule) int {
	p := d.bottleneck(trace)
	c := capacity{
		pool:   p,
		faults: s.Faults,
	}
	q := centralQueue{
		free:            make([]time.Duration, int(c.slots(0))),
		meanServiceTime: c.meanServiceTime(),
		rule:            rule,
	}
	bottleneckRoutes := d.bottleneckRoutes(trace)
	others := 0
	for i, a := range trace {
		if !bottleneckRoutes[a.Route] {
			others++
			continue
		}
		key := fmt.Sprintf("r%d-1-0%s", i, d.stageOn(a.Route, p.Name))
		size := logNormalFactor(seed, key, p.RequestSigma) * logNormalFactor(seed, key+".1", p.AttemptSigma)
		q.jobs = append(q.jobs, queuedJob{
			at:          a.At(),
			deadline:    a.At() + a.Deadline(),
			serviceTime: time.Duration(float64(c.meanServiceTime()) * size),
		})
	}
	return others + q.run()
}

// StartRule tells which calls a central queue still starts.
type StartRule struct {
	// Clairvoyant means that the queue knows the service time of each call, and starts
	// none that would end late.
	Clairvoyant bool
	// Reserve is the time that any other queue leaves a call before its deadline, as a
	// fraction of the mean service time.
	Reserve float64
}

// need returns the time that j must have left to be started.
func (r StartRule) need(j queuedJob, meanServiceTime time.Duration) time.Duration {
	if r.Clairvoyant {
		return j.serviceTime
	}
	return time.Duration(r.Reserve * float64(meanServiceTime))
}

// stageOn returns the name of the first stage of the route that runs on the pool.
func (d Deployment) stageOn(route, pool string) string {
	i := slices.IndexFunc(d.Routes, func(r Route) bool { return r.Name == route })
	j := slices.IndexFunc(d.Routes[i].Stages, func(s Stage) bool { return s.Pool == pool })
	return d.Routes[i].Stages[j].Name
}

type queuedJob struct {
	at, deadline, serviceTime time.Duration
}

// centralQueue is a queue of jobs for a number of slots.
type centralQueue struct {
	jobs            []queuedJob // by arrival
	waiting         []queuedJob
	free            []time.Duration // when each slot becomes free
	meanServiceTime time.Duration
	rule            StartRule
}

// run simulates the queue until it is empty and returns the number of jobs that
// ended in time. A job that misses its deadline holds its slot until the deadline.
func (q *centralQueue) run() int {
	answered := 0
	for len(q.jobs) > 0 || len(q.waiting) > 0 {
		slices.Sort(q.free)
		now := q.free[0]
		if len(q.waiting) == 0 && q.jobs[0].at > now {
			q.free[0] = q.jobs[0].at
			continue
		}
		q.admit(now)
		if len(q.waiting) == 0 {
			continue
		}
		j := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now+j.serviceTime <= j.deadline {
			answered++
		}
		q.free[0] = min(now+j.serviceTime, j.deadline)
	}
	return answered
}

// admit queues the jobs that have arrived by now and drops those that can't meet
// their deadline.
func (q *centralQueue) admit(now time.Duration) {
	for len(q.jobs) > 0 && q.jobs[0].at <= now {
		q.waiting = append(q.waiting, q.jobs[0])
		q.jobs = q.jobs[1:]
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(j queuedJob) bool {
		return now+q.rule.need(j, q.meanServiceTime) > j.deadline
	})
	slices.SortStableFunc(q.waiting, func(a, b queuedJob) int { return cmp.Compare(a.deadline, b.deadline) })
}
