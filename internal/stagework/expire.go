package stagework

import (
	"slices"
	"time"
)

// rejectUnfinishable rejects the queued jobs that can no longer meet their deadline.
func (s *Scheduler) rejectUnfinishable(svc *service, now time.Time) {
	var unfinishable []*job
	var last *job
	for _, p := range svc.queue {
		if p.job == last || p.job.finished || p.job.handingOff {
			continue
		}
		last = p.job
		if last.timeLeft(now) < p.stage.minTime {
			unfinishable = append(unfinishable, last)
		}
	}
	for _, j := range unfinishable {
		s.reject(j, svc)
	}
}

// rejectStarved rejects the jobs past their soft deadline that would miss their deadline
// because of the more urgent work ahead of them.
func (s *Scheduler) rejectStarved(now time.Time) {
	var waiting []*job
	for j := range s.jobs {
		if !j.finished && j.hasWaitingPieces() {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *job) int { return compareJobs(a, b, now) })
	workAhead := make(map[*service]workload)
	known := make(capacities)
	for _, j := range waiting {
		j.addWaiting(workAhead, 1)
		if j.handingOff || softDeadlineRank(j, now) == 0 {
			continue
		}
		for _, st := range j.stages {
			if st.queued > 0 && known.of(st.service).timeToComplete(workAhead[st.service]) > j.timeLeft(now) {
				j.addWaiting(workAhead, -1)
				s.reject(j, st.service)
				break
			}
		}
	}
}

// reject ends a job that waits at a service with a RejectedError.
func (s *Scheduler) reject(j *job, svc *service) {
	s.finish(j, &RejectedError{
		Message:    "the stages can't be done before the deadline",
		RetryAfter: s.retryAfter(svc.name),
	})
}
