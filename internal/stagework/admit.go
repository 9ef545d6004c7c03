package stagework

import (
	"fmt"
	"time"
)

const (
	// leastComeBack and mostComeBack bound the time to come back.
	leastComeBack = 100 * time.Millisecond
	mostComeBack  = 5 * time.Second
	// roomHold is the time that a large result is held beside its own call: until
	// the engine has fetched it.
	roomHold = 250 * time.Millisecond
)

// admit refuses a job that can't be expected to meet its objective behind what is
// there already.
func (s *Scheduler) admit(j Job, now time.Time) error {
	end, bottleneck := s.foresee(j, now)
	if !end.Add(j.Remaining).After(j.Objective) {
		return nil
	}
	if !s.busy(j) && !end.Add(j.Remaining).After(j.Deadline) {
		return nil // Nothing else waits, so a late answer costs nobody anything.
	}
	return &RefusedError{
		Message:    fmt.Sprintf("the stages would take until %s past the objective; %s is the bottleneck", end.Add(j.Remaining).Sub(j.Objective).Round(time.Millisecond), bottleneck),
		RetryAfter: s.comeBack(bottleneck),
	}
}

// foresee returns when the job's stages can be expected to be done, and the service
// that it waits for longest.
func (s *Scheduler) foresee(j Job, now time.Time) (time.Time, string) {
	finish := make([]time.Time, len(j.Stages))
	end := now
	var longest time.Duration
	bottleneck := ""
	for i, st := range j.Stages {
		start := now
		for _, input := range st.After {
			if finish[input].After(start) {
				start = finish[input]
			}
		}
		finish[i] = start
		svc, ok := s.services[st.Service]
		if !ok || st.Pieces == 0 {
			continue
		}
		wait := max(svc.backlog(s.ahead(svc, j, now))-start.Sub(now), 0)
		if wait >= longest {
			longest, bottleneck = wait, st.Service
		}
		finish[i] = start.Add(wait + callTime(svc.spec, min(st.Pieces, svc.spec.Size)))
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

// ahead returns the work that would go before a new job at a service: the pieces of
// jobs that are at least as urgent, also those of stages that are still to come.
func (s *Scheduler) ahead(svc *service, j Job, now time.Time) load {
	x := &job{
		Job: j,
	}
	var sum load
	for other := range s.jobs {
		if other.finished || compareJobs(other, x, now) > 0 {
			continue
		}
		for _, st := range other.stages {
			if st.Service != svc.name {
				continue
			}
			for _, p := range st.pieces {
				if p.state == blocked || p.state == queued {
					sum.pieces++
					sum.bytes += st.ResultBytes
				}
			}
		}
	}
	return sum
}

// backlog returns how long the usable upstreams take to come to an end of a load.
func (svc *service) backlog(l load) time.Duration {
	n := 0
	for _, u := range svc.upstreams {
		if !u.leaving && u.failures < 3 {
			n++
		}
	}
	if n == 0 {
		return mostComeBack
	}
	full := callTime(svc.spec, svc.spec.Size)
	byWork := time.Duration(l.pieces) * full / time.Duration(svc.spec.Size*n)
	resident := full + roomHold
	byRoom := time.Duration(float64(l.bytes) / float64(max(svc.spec.RoomBytes, 1)) / float64(n) * float64(resident))
	wait := max(byWork, byRoom)
	if svc.allBusy() {
		wait += full / 2 / time.Duration(n)
	}
	return wait
}

func (svc *service) allBusy() bool {
	for _, u := range svc.upstreams {
		if !u.leaving && u.calls < svc.spec.Concurrency {
			return false
		}
	}
	return true
}

// busy reports whether work waits at one of the job's services.
func (s *Scheduler) busy(j Job) bool {
	for _, st := range j.Stages {
		if svc, ok := s.services[st.Service]; ok && len(svc.queue) > 0 {
			return true
		}
	}
	return false
}

// comeBack returns when the work that is queued at a service now will be done.
func (s *Scheduler) comeBack(name string) time.Duration {
	svc, ok := s.services[name]
	if !ok {
		return leastComeBack
	}
	l := load{
		pieces: len(svc.queue),
	}
	for _, p := range svc.queue {
		l.bytes += p.stage.ResultBytes
	}
	return min(max(svc.backlog(l), leastComeBack), mostComeBack)
}
