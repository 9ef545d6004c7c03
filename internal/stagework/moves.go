package stagework

// find returns the upstream that holds a result, or nil.
func (s *Scheduler) findHolder(m PieceResult) *upstream {
	for _, svc := range s.services {
		if u, ok := svc.upstreams[m.Incarnation]; ok {
			return u
		}
	}
	return nil
}

// HandOffJobs gives up the jobs that are not done, since another daemon owns the upstreams
// now. A job moves once none of its pieces is in a call, so that no work is lost.
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

// move ends a job that is to move, unless a call has some of its pieces.
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
			if p.state == finished { // The next owner accounts for it.
				p.setState(freed)
				p.holder.held -= p.stage.ResultBytes
			}
		}
	}
	s.finish(j, &OwnerChangedError{})
}
