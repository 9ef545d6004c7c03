package stagework

import "time"

// detachedTTL is how long a detached job is kept. A submitter notices a broken connection at once
// and needs a round trip or two to connect again.
const detachedTTL = 500 * time.Millisecond

// Detach ends the use of the handle because its submitter has lost the connection. The job is
// kept for detachedTTL: a Submit of it with Resubmitted set returns it as it is, and without one
// it is released.
func (j *SubmittedJob) Detach() {
	s := j.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.generation != j.job.generation {
		return // Another handle has taken over the job.
	}
	time.AfterFunc(detachedTTL, j.Release)
}

// reattach returns a new handle of a job that its submitter submits again, or nil if the job is
// unknown here. The previous handle no longer releases it. The caller holds the lock.
func (s *Scheduler) reattach(j Job) *SubmittedJob {
	if !j.Resubmitted {
		return nil
	}
	x, ok := s.byRequest[j.RequestID]
	if !ok || !x.equalStages(j) {
		return nil
	}
	x.generation++
	return s.handle(x)
}

// equalStages reports whether a job has the same input and stages as j.
func (j *job) equalStages(other Job) bool {
	if j.InputKey != other.InputKey || len(j.Stages) != len(other.Stages) {
		return false
	}
	for i, st := range j.Stages {
		o := other.Stages[i]
		if st.Service != o.Service || st.Pieces != o.Pieces {
			return false
		}
	}
	return true
}

// handle returns a handle of a job that replaces its previous ones.
func (s *Scheduler) handle(x *job) *SubmittedJob {
	return &SubmittedJob{
		scheduler:  s,
		job:        x,
		generation: x.generation,
	}
}
