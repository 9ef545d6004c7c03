package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// SimulateCentralQueue returns how many requests one central queue for the scarcest pool
// would answer in time: all slots free to every request, no other stage, no
// distance, earliest deadline first. With foresight it knows how long each call
// takes and starts none that would end late; without, it starts none that has
// less than the mean time left.
func SimulateCentralQueue(d Deployment, s Scenario, trace []Arrival, seed uint64, clairvoyant bool) int {
	p := d.bottleneck(trace)
	c := capacity{
		pool:   p,
		faults: s.Faults,
	}
	q := centralQueue{
		free:            make([]time.Duration, int(c.slots(0))),
		meanServiceTime: c.meanServiceTime(),
		clairvoyant:     clairvoyant,
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

func (d Deployment) stageOn(route, pool string) string {
	i := slices.IndexFunc(d.Routes, func(r Route) bool { return r.Name == route })
	j := slices.IndexFunc(d.Routes[i].Stages, func(s Stage) bool { return s.Pool == pool })
	return d.Routes[i].Stages[j].Name
}

type queuedJob struct {
	at, deadline, serviceTime time.Duration
}

// central is a queue for slots that are each free from a time on.
type centralQueue struct {
	jobs            []queuedJob // by arrival
	waiting         []queuedJob
	free            []time.Duration
	meanServiceTime time.Duration
	clairvoyant     bool
}

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

// admit takes in the jobs that have arrived, and drops those without hope.
func (q *centralQueue) admit(now time.Duration) {
	for len(q.jobs) > 0 && q.jobs[0].at <= now {
		q.waiting = append(q.waiting, q.jobs[0])
		q.jobs = q.jobs[1:]
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(j queuedJob) bool {
		need := q.meanServiceTime
		if q.clairvoyant {
			need = j.serviceTime
		}
		return now+need > j.deadline
	})
	slices.SortStableFunc(q.waiting, func(a, b queuedJob) int { return cmp.Compare(a.deadline, b.deadline) })
}
