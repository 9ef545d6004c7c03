package stagework

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"sequoiafork/internal/routing"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After delay.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// A result is small if it takes less than 1/smallResultDivisor of an upstream's result
	// memory.
	smallResultDivisor = 100
	// A job that will miss its soft deadline is accepted if its response is expected to start
	// within lateTimeFraction of the time for which its caller still waits.
	lateTimeFraction = 0.6
	// defaultResultHold is how long a large result is assumed to stay in memory in addition to
	// its own call, until the engine has fetched it, before any was measured. The newest
	// measurement has the weight resultHoldWeight in the moving average.
	defaultResultHold = 250 * time.Millisecond
	resultHoldWeight  = 0.05
)

// forecast is the estimate for a job at admission.
type forecast struct {
	end time.Time
	// missesSoftDeadline is set if the job runs after all jobs that can meet their soft
	// deadline.
	missesSoftDeadline bool
}

// admit rejects a job that is not expected to finish well before its deadline, given the
// work that is there already. A job that would miss its soft deadline is accepted only if
// it can run after all others without delaying them. A job that has results already is
// always accepted.
func (s *Scheduler) admit(j Job, now time.Time) (forecast, error) {
	if !s.configured() {
		return forecast{
			end: now,
		}, nil
	}
	end, bottleneck := s.estimateEnd(j, now, false)
	responseStart := end.Add(j.TimeAfterStages + s.overrun[j.Priority].bound())
	if !responseStart.After(j.SoftDeadline) || len(j.Results) > 0 {
		return forecast{
			end: end,
		}, nil
	}
	lateEnd := s.estimateLateEnd(j, now)
	if !lateEnd.Add(j.TimeAfterStages + s.overrun[j.Priority].bound()).After(s.latestResponse(j, now)) {
		return forecast{
			end:                lateEnd,
			missesSoftDeadline: true,
		}, nil
	}
	return forecast{
		end: lateEnd,
	}, &RejectedError{
		Message:    fmt.Sprintf("the answer would begin %s past the objective; %s is the bottleneck", responseStart.Sub(j.SoftDeadline).Round(time.Millisecond), bottleneck),
		RetryAfter: s.retryAfter(bottleneck),
	}
}

// estimateLateEnd estimates when the stages of a job end if it runs after all others.
func (s *Scheduler) estimateLateEnd(j Job, now time.Time) time.Time {
	j.SoftDeadline = now
	end, _ := s.estimateEnd(j, now, true)
	return end
}

// latestResponse returns when the response to a job that misses its soft deadline must
// start. The rest of the time for which the caller is assumed to wait is reserved for more
// urgent jobs that arrive later.
func (s *Scheduler) latestResponse(j Job, now time.Time) time.Time {
	return now.Add(time.Duration(lateTimeFraction * float64(j.patience().Sub(now))))
}

// patience returns when the caller is expected to stop waiting for the start of the response.
func (j Job) patience() time.Time {
	if j.Patience.IsZero() || j.Patience.After(j.Deadline) {
		return j.Deadline
	}
	return j.Patience
}

// observeOverrun records by how much the stages of a finished job ended later than forecast. A job that runs after
// all others says nothing about those that can meet their soft deadline.
func (s *Scheduler) observeOverrun(j *job, err error) {
	var ownerChanged *OwnerChangedError
	if j.missesSoftDeadline || errors.Is(err, context.Canceled) || errors.As(err, &ownerChanged) {
		return
	}
	s.overrun[j.Priority] = s.overrun[j.Priority].observe(time.Since(j.expectedEnd))
}

// estimateEnd estimates when the stages of a job end, and returns the service at which it
// waits longest. If the job is late, it runs after all jobs that can meet their soft deadline.
func (s *Scheduler) estimateEnd(j Job, now time.Time, late bool) (time.Time, string) {
	finish := make([]time.Time, len(j.Stages))
	end := now
	var longest time.Duration
	bottleneck := ""
	sum := s.workAhead(j, now, late)
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
		if !svc.isLarge(st.ResultBytes) {
			workAhead.bytes = 0 // Small results fit even while larger ones wait for memory.
		}
		capacity := svc.capacity()
		wait := max(capacity.timeToComplete(workAhead)-start.Sub(now), 0)
		if wait >= longest {
			longest, bottleneck = wait, st.Service
		}
		finish[i] = start.Add(wait + callTime(svc.spec, capacity.itemsPerCall(workAhead.pieces+st.Pieces)))
		if finish[i].After(end) {
			end = finish[i]
		}
	}
	return end, bottleneck
}

// workload is a number of pieces at a service, and the bytes of their results.
type workload struct {
	pieces int
	bytes  int64
}

// hasWaitingPieces reports whether a job has pieces that are not in a call yet.
func (j *job) hasWaitingPieces() bool {
	return slices.ContainsFunc(j.stages, func(st *stage) bool { return st.waiting > 0 })
}

// addWaiting adds n times the waiting pieces of a job to sum, by service.
func (j *job) addWaiting(sum map[*service]workload, n int) {
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

// workAhead returns the work that takes precedence over a new job, by service: the waiting
// pieces of jobs that are at least as urgent, including the pieces of stages that are
// still blocked.
func (s *Scheduler) workAhead(j Job, now time.Time, late bool) map[*service]workload {
	x := &job{
		Job:                j,
		softStageDeadline:  j.softStageDeadline(),
		missesSoftDeadline: late,
	}
	x.updateLateAfter()
	sum := make(map[*service]workload)
	for other := range s.jobs {
		if !other.finished && other.hasWaitingPieces() && compareJobs(other, x, now) <= 0 {
			other.addWaiting(sum, 1)
		}
	}
	return sum
}

// capacity is the combined capacity of the usable upstreams of a service.
type capacity struct {
	spec routing.BatchSpec
	// effectiveUpstreams is the number of upstreams, each divided by its slowdown, and
	// resultMemory is their memory for results.
	effectiveUpstreams float64
	resultMemory       int64
	// resultTime is how long a large result stays in memory.
	resultTime time.Duration
	allBusy    bool
	// pause is how long no upstream takes calls, because all want a pause or have failed.
	pause time.Duration
}

// capacity returns the capacity from when the first upstream takes calls: now, or when the first pause or
// backoff ends.
func (svc *service) capacity() capacity {
	now := time.Now()
	pause := svc.pause(now)
	at := now.Add(pause)
	return capacity{
		spec:               svc.spec,
		effectiveUpstreams: svc.effectiveUpstreams(at),
		resultMemory:       svc.resultMemory(at),
		resultTime:         svc.resultTime(),
		allBusy:            svc.allBusy(),
		pause:              pause,
	}
}

// pause returns how long no upstream that counts takes calls.
func (svc *service) pause(now time.Time) time.Duration {
	least, found := time.Duration(0), false
	for u := range svc.counted() {
		if left := max(u.takesCallsAt().Sub(now), 0); !found || left < least {
			least, found = left, true
		}
	}
	return least
}

// counted yields the upstreams that count in estimates: those whose last call did not fail or, if all
// failed, all of them, since only a job shows that they take calls again.
func (svc *service) counted() iter.Seq[*upstream] {
	return func(yield func(*upstream) bool) {
		sound := svc.hasSound()
		for _, u := range svc.upstreams {
			if u.draining || sound && u.failures > 0 {
				continue
			}
			if !yield(u) {
				return
			}
		}
	}
}

// hasSound reports whether the last call to an upstream that is not draining did not fail.
func (svc *service) hasSound() bool {
	for _, u := range svc.upstreams {
		if !u.draining && u.failures == 0 {
			return true
		}
	}
	return false
}

// takesCallsAt returns when the upstream takes calls again after a pause or failed calls or, if it is cold and this
// daemon has no part of what it gets, when it is warm.
func (u *upstream) takesCallsAt() time.Time {
	at := u.pausedUntil
	if u.failures > 0 && u.backoffUntil.After(at) {
		at = u.backoffUntil
	}
	if warm := u.coldWithoutTurnsUntil(time.Now()); warm.After(at) {
		at = warm
	}
	return at
}

// capacities are the capacities of services during one dispatch pass, each computed when it is first
// needed.
type capacities map[*service]capacity

func (c capacities) of(svc *service) capacity {
	known, ok := c[svc]
	if !ok {
		known = svc.capacity()
		c[svc] = known
	}
	return known
}

// timeToComplete returns how long the upstreams need for a workload.
func (c capacity) timeToComplete(l workload) time.Duration {
	if c.effectiveUpstreams == 0 {
		return maxRetryAfter
	}
	fullBatchTime := callTime(c.spec, c.spec.MaxSize)
	byWork := time.Duration(float64(l.pieces) * float64(fullBatchTime) / (float64(c.spec.MaxSize) * c.effectiveUpstreams))
	byMemory := time.Duration(float64(l.bytes) / float64(max(c.resultMemory, 1)) * float64(c.resultTime))
	wait := c.pause + max(byWork, byMemory)
	if c.allBusy {
		wait += time.Duration(float64(fullBatchTime) / 2 / c.effectiveUpstreams)
	}
	return wait
}

// itemsPerCall returns how many items the calls have that do a number of pieces. Under load the calls are full,
// and a piece is done only when the others of its call are.
func (c capacity) itemsPerCall(pieces int) int {
	each := math.Ceil(float64(pieces) / max(c.effectiveUpstreams, 1))
	return min(int(each), c.spec.MaxSize)
}

// isLarge reports whether results of a size fill the memory of an upstream before its calls are
// full.
func (svc *service) isLarge(bytes int64) bool {
	return bytes*smallResultDivisor >= svc.spec.ResultMemoryBytes
}

// resultTime returns how long a large result stays in memory, from the start of its call. It is
// measured, since in a burst results wait for the other pieces of their job and for an engine.
func (svc *service) resultTime() time.Duration {
	if svc.measuredResultTime > 0 {
		return svc.measuredResultTime
	}
	return callTime(svc.spec, svc.spec.MaxSize) + defaultResultHold
}

// observeResult records how long a result stayed in memory, if it is large.
func (svc *service) observeResult(bytes int64, took time.Duration) {
	if !svc.isLarge(bytes) || took <= 0 {
		return
	}
	average := svc.resultTime()
	svc.measuredResultTime = average + time.Duration(resultHoldWeight*float64(took-average))
}

// resultMemory returns the memory for results of the usable upstreams, less what results
// of other schedulers use. That of an upstream that limits its rate counts for less, since its
// results are freed later.
func (svc *service) resultMemory(at time.Time) int64 {
	sum := int64(0)
	for u := range svc.counted() {
		if at.Before(u.takesCallsAt()) {
			continue
		}
		bytes := svc.spec.ResultMemoryBytes - max(u.foreignBytes, u.inherited)
		if u.limited() {
			bytes = int64(float64(bytes) * float64(svc.resultTime()) / float64(svc.limitedResultTime(u)))
		}
		sum += bytes
	}
	return sum
}

// effectiveUpstreams returns the number of usable upstreams, each divided by its slowdown or, if it
// limits the rate of calls, by how much longer it takes between two.
func (svc *service) effectiveUpstreams(at time.Time) float64 {
	n := 0.0
	best := svc.minSlowdown()
	for u := range svc.counted() {
		if !at.Before(u.takesCallsAt()) && u.slowdown < slowThreshold*best {
			n += min(1/max(u.slowdown, 1), u.callsPerCallTime(callTime(svc.spec, svc.spec.MaxSize)))
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

// retryAfter returns the time until the work that is queued at a service now is expected
// to be done.
func (s *Scheduler) retryAfter(name string) time.Duration {
	svc, ok := s.services[name]
	if !ok {
		return minRetryAfter
	}
	l := workload{
		pieces: len(svc.queue),
	}
	for _, p := range svc.queue {
		l.bytes += p.stage.ResultBytes
	}
	c := svc.capacity()
	return min(max(c.timeToComplete(l), minRetryAfter), c.pause+maxRetryAfter)
}
