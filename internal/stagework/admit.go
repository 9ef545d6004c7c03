package stagework

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"sequoiafork/internal/routing"
)

const (
	// leastComeBack and mostComeBack bound the time to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// delayWeight is the weight of the newest job in the delay, and mostDelay bounds it.
	delayWeight = 0.1
	maxDelay    = time.Second
	// smallParts is the part of an upstream's memory below which a result is small.
	smallResultDivisor = 100
	// latePatience is how many times its objective a caller waits for the beginning of
	// an answer, and latePart the part of that time that a late job is planned for.
	lateResponseFactor = 4
	lateTimeFraction   = 0.6
	// roomHold is the time that a large result is held beside its own call: until
	// the engine has fetched it.
	largeResultHold = 250 * time.Millisecond
)

// forecast is what a job can expect.
type forecast struct {
	end time.Time
	// late says that the job goes behind all that can meet their objective.
	missesObjective bool
}

// admit refuses a job that can't be expected to be done well before its deadline behind
// what is there already. One that can't meet its objective is taken only as far as
// it costs the others nothing. A job that has results already is taken.
func (s *Scheduler) admit(j Job, now time.Time) (forecast, error) {
	end, bottleneck := s.estimateEnd(j, now)
	responseStart := end.Add(j.TimeAfterStages + s.delay[j.Priority])
	if !responseStart.After(j.SoftDeadline) || len(j.Results) > 0 {
		return forecast{
			end: end,
		}, nil
	}
	lateEnd := s.estimateLateEnd(j, now)
	if !lateEnd.Add(j.TimeAfterStages + s.delay[j.Priority]).After(s.latestResponse(j, now)) {
		return forecast{
			end:             lateEnd,
			missesObjective: true,
		}, nil
	}
	return forecast{
		end: lateEnd,
	}, &RefusedError{
		Message:    fmt.Sprintf("the answer would begin %s past the objective; %s is the bottleneck", responseStart.Sub(j.SoftDeadline).Round(time.Millisecond), bottleneck),
		RetryAfter: s.retryAfter(bottleneck),
	}
}

// foreseeLate returns when a job is done that goes behind all others.
func (s *Scheduler) estimateLateEnd(j Job, now time.Time) time.Time {
	j.SoftDeadline = now
	end, _ := s.estimateEnd(j, now)
	return end
}

// latest returns when the answer to a late job must begin: a part of its time is kept
// for what comes before it in the meantime.
func (s *Scheduler) latestResponse(j Job, now time.Time) time.Time {
	limit := j.Deadline
	if lateResponse := now.Add(time.Duration(lateResponseFactor * float64(j.SoftDeadline.Sub(now)))); lateResponse.Before(limit) {
		limit = lateResponse
	}
	return now.Add(time.Duration(lateTimeFraction * float64(limit.Sub(now))))
}

// learn compares when a job was done with when it was foreseen to be done.
func (s *Scheduler) updateDelay(j *job, err error) {
	var moved *OwnerChangedError
	if errors.Is(err, context.Canceled) || errors.As(err, &moved) {
		return
	}
	late := min(max(time.Since(j.expectedEnd), 0), maxDelay)
	old := s.delay[j.Priority]
	s.delay[j.Priority] = old + time.Duration(delayWeight*float64(late-old))
}

// foresee returns when the job's stages can be expected to be done, and the service
// that it waits for longest.
func (s *Scheduler) estimateEnd(j Job, now time.Time) (time.Time, string) {
	finish := make([]time.Time, len(j.Stages))
	end := now
	var longest time.Duration
	bottleneck := ""
	sum := s.workAhead(j, now)
	for i, st := range j.Stages {
		start := now
		for _, input := range st.DependsOn {
			if finish[input].After(start) {
				start = finish[input]
			}
		}
		finish[i] = start
		svc, ok := s.services[st.Service]
		if !ok || st.Pieces == 0 {
			continue
		}
		workAhead := sum[svc]
		if st.ResultBytes*smallResultDivisor < svc.spec.ResultMemoryBytes {
			workAhead.bytes = 0 // Such results fit in where larger ones wait for memory.
		}
		wait := max(svc.capacity().timeToComplete(workAhead)-start.Sub(now), 0)
		if wait >= longest {
			longest, bottleneck = wait, st.Service
		}
		finish[i] = start.Add(wait + callTime(svc.spec, min(st.Pieces, svc.spec.MaxSize)))
		if finish[i].After(end) {
			end = finish[i]
		}
	}
	return end, bottleneck
}

// load is work that is ahead of a job at a service.
type load struct {
	pieces int
	bytes  int64
}

// waits reports whether a job has pieces that are not in a call yet.
func (j *job) hasWaitingPieces() bool {
	return slices.ContainsFunc(j.stages, func(st *stage) bool { return st.waiting > 0 })
}

// add adds n times the work that a job still waits for, by service.
func (j *job) addWaiting(sum map[*service]load, n int) {
	for _, st := range j.stages {
		if st.waiting == 0 || st.service == nil {
			continue
		}
		l := sum[st.service]
		l.pieces += n * st.waiting
		l.bytes += int64(n) * int64(st.waiting) * st.ResultBytes
		sum[st.service] = l
	}
}

// ahead returns the work that would go before a new job, by service: the pieces of jobs
// that are at least as urgent, also those of stages that are still to come.
func (s *Scheduler) workAhead(j Job, now time.Time) map[*service]load {
	x := &job{
		Job:               j,
		softStageDeadline: j.softStageDeadline(),
	}
	sum := make(map[*service]load)
	for other := range s.jobs {
		if !other.finished && other.hasWaitingPieces() && compareJobs(other, x, now) <= 0 {
			other.addWaiting(sum, 1)
		}
	}
	return sum
}

// capacity is what the usable upstreams of a service can do.
type capacity struct {
	spec routing.BatchSpec
	// strength is the number of upstreams, each by its pace, memory that for results.
	effectiveUpstreams float64
	resultMemory       int64
	allBusy            bool
}

func (svc *service) capacity() capacity {
	return capacity{
		spec:               svc.spec,
		effectiveUpstreams: svc.effectiveUpstreams(),
		resultMemory:       svc.resultMemory(),
		allBusy:            svc.allBusy(),
	}
}

func (s *Scheduler) capacities() map[*service]capacity {
	m := make(map[*service]capacity, len(s.services))
	for _, svc := range s.services {
		m[svc] = svc.capacity()
	}
	return m
}

// backlog returns how long the upstreams take to come to an end of a load.
func (c capacity) timeToComplete(l load) time.Duration {
	if c.effectiveUpstreams == 0 {
		return maxRetryAfter
	}
	full := callTime(c.spec, c.spec.MaxSize)
	byWork := time.Duration(float64(l.pieces) * float64(full) / (float64(c.spec.MaxSize) * c.effectiveUpstreams))
	resultTime := full + largeResultHold
	byMemory := time.Duration(float64(l.bytes) / float64(max(c.resultMemory, 1)) * float64(resultTime))
	wait := max(byWork, byMemory)
	if c.allBusy {
		wait += time.Duration(float64(full) / 2 / c.effectiveUpstreams)
	}
	return wait
}

// memory returns the memory for results of the usable upstreams, less what another owner
// has left there.
func (svc *service) resultMemory() int64 {
	sum := int64(0)
	for _, u := range svc.upstreams {
		if !u.draining && u.failures == 0 {
			sum += svc.spec.ResultMemoryBytes - max(u.foreignBytes, u.inherited)
		}
	}
	return sum
}

// strength returns the number of upstreams that can be counted on, each by its pace.
func (svc *service) effectiveUpstreams() float64 {
	n := 0.0
	best := svc.minSlowdown()
	for _, u := range svc.upstreams {
		if !u.draining && u.failures == 0 && u.slowdown < slowThreshold*best {
			n += 1 / max(u.slowdown, 1)
		}
	}
	return n
}

func (svc *service) allBusy() bool {
	for _, u := range svc.upstreams {
		if !u.draining && u.calls < svc.spec.Concurrency {
			return false
		}
	}
	return true
}

// comeBack returns when the work that is queued at a service now will be done.
func (s *Scheduler) retryAfter(name string) time.Duration {
	svc, ok := s.services[name]
	if !ok {
		return minRetryAfter
	}
	l := load{
		pieces: len(svc.queue),
	}
	for _, p := range svc.queue {
		l.bytes += p.stage.ResultBytes
	}
	return min(max(svc.capacity().timeToComplete(l), minRetryAfter), maxRetryAfter)
}
