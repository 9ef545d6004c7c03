package stagework

// findHolder returns the upstream that holds a result, or nil.
func (s *Scheduler) findHolder(r PieceResult) *upstream {
	for _, svc := range s.services {
		if u, ok := svc.upstreams[r.Incarnation]; ok {
			return u
		}
	}
	return nil
}

// HandOffJobs ends the unfinished jobs with an OwnerChangedError, because another daemon
// owns the stage work now. A job is handed off once none of its pieces is in a call, so
// that no work is lost.
func (s *Scheduler) HandOffJobs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for j := range s.jobs {
		if !j.finished && !j.handingOff {
			j.handingOff = true
			s.handOff(j)
		}
	}
}

// handOff ends a job that is being handed off, unless some of its pieces are in a call.
func (s *Scheduler) handOff(j *job) {
	if !j.handingOff || j.finished {
		return
	}
	for _, st := range j.stages {
		for _, p := range st.pieces {
			if p.calls > 0 {
				return
			}
		}
	}
	s.unqueueJob(j)
	for _, st := range j.stages {
		for _, p := range st.pieces {
			if p.state == finished { // The next owner accounts for the memory.
				p.setState(freed)
				p.holder.held -= p.stage.ResultBytes
			}
		}
	}
	s.finish(j, &OwnerChangedError{})
}
