package stagework

import (
	"slices"
	"time"
)

// expire gives up the jobs in the queue that can't meet their deadline any longer.
func (s *Scheduler) expire(svc *service, now time.Time) {
	var hopeless []*job
	var last *job
	for _, p := range svc.queue {
		if p.job == last || p.job.finished || p.job.moving {
			continue
		}
		last = p.job
		if last.left(now) < p.stage.least {
			hopeless = append(hopeless, last)
		}
	}
	for _, j := range hopeless {
		s.giveUp(j, svc)
	}
}

// expireCrowded gives up the late jobs that would not be done in time behind what is
// more urgent.
func (s *Scheduler) expireCrowded(now time.Time) {
	var open []*job
	for j := range s.jobs {
		if !j.finished && j.waits() {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(a, b *job) int { return compareJobs(a, b, now) })
	ahead := make(map[*service]load)
	capacities := s.capacities()
	for _, j := range open {
		j.add(ahead, 1)
		if j.moving || lateness(j, now) == 0 {
			continue
		}
		for _, st := range j.stages {
			if st.queued > 0 && capacities[st.service].backlog(ahead[st.service]) > j.left(now) {
				j.add(ahead, -1)
				s.giveUp(j, st.service)
				break
			}
		}
	}
}

// giveUp refuses a job that waits at a service.
func (s *Scheduler) giveUp(j *job, svc *service) {
	s.finish(j, &RefusedError{
		Message:    "the stages can't be done before the deadline",
		RetryAfter: s.comeBack(svc.name),
	})
}
