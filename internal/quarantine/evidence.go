package quarantine

import (
	"slices"
	"time"
)

// suspect is a key that was there when upstreams ended.
type suspect struct {
	key Key
	// ends are those with an attempt that had the key, in the order of their times.
	ends []*knownEnd
	// success is the time of the last success since the first of the ends, zero if none is known.
	success time.Time
	// succeeded reports that requests with the key have succeeded at some time before.
	succeeded bool
}

// knownEnd is an end of an upstream as far as it is known here.
type knownEnd struct {
	End
	// decideAt is when its evidence counts.
	decideAt time.Time
}

// separation returns the time between two ends with the key from which on they count as two.
func (s *suspect) separation() time.Duration {
	if s.succeeded {
		return longSeparation
	}
	return minSeparation
}

// follow reports whether one upstream ended after another one, rather than together with it: the separation lies
// between, or one request with the key was sent again after the other end.
func (s *suspect) follow(e, o *knownEnd) bool {
	if e.At.Sub(o.At) >= s.separation() {
		return true
	}
	return slices.ContainsFunc(e.Attempts, func(a Attempt) bool {
		return a.Key.Hash == s.key.Hash && a.Began.After(o.At) &&
			slices.ContainsFunc(o.Attempts, func(b Attempt) bool { return b.Key.Hash == s.key.Hash && b.Request == a.Request })
	})
}

// Ended records that an upstream ended with attempts of this daemon, and returns what the other daemons must be told.
func (r *Registry) Ended(e End) []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decideDue()
	for i, a := range e.Attempts {
		e.Attempts[i].Succeeded = r.succeeded.has(a.Key.Hash)
	}
	isNew, failed := r.mergeEnd(e)
	if !isNew {
		return nil
	}
	list := []Observation{
		e,
	}
	for _, h := range failed {
		list = append(list, h) // The others may take the trial for one that began before the end of the hold.
	}
	return list
}

// Succeeded records the success of a request of this daemon, and returns what the other daemons must be told.
func (r *Registry) Succeeded(req Request) []Observation {
	for _, k := range req.Keys {
		r.NoteSuccess(k)
	}
	if !r.Active() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decideDue()
	var list []Observation
	for _, k := range req.Keys {
		s := Success{
			Key: k.Hash,
			At:  time.Now(),
		}
		if r.mergeSuccess(s) {
			list = append(list, s)
		}
	}
	return list
}

// NoteSuccess notes that a request with a key has succeeded. It tells nobody.
func (r *Registry) NoteSuccess(k Key) { r.succeeded.add(k.Hash) }

// Merge records an observation of another daemon and reports whether it was new.
func (r *Registry) Merge(o Observation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decideDue()
	switch o := o.(type) {
	case End:
		isNew, _ := r.mergeEnd(o)
		return isNew
	case Success:
		return r.mergeSuccess(o)
	case Hold:
		return r.mergeHold(o)
	}
	return false
}

// mergeEnd adds the attempts of an end and reports whether any was new. It returns the holds that follow trials which
// have failed. The caller holds mu.
func (r *Registry) mergeEnd(e End) (isNew bool, failed []Hold) {
	if time.Since(e.At) >= r.cfg.EvidenceTTL {
		return false, nil
	}
	known, ok := r.ends[e.Incarnation]
	if !ok {
		known = &knownEnd{
			End: End{
				Incarnation: e.Incarnation,
				At:          e.At,
			},
		}
	}
	added := r.addAttempts(known, e.Attempts)
	if !added {
		return false, nil
	}
	if !ok {
		r.dropOldEnds()
		r.ends[e.Incarnation] = known
		r.oldest = append(r.oldest, e.Incarnation)
	}
	r.active.Store(true)
	failed = r.recordHeldEnds(known)
	if !slices.Contains(r.undecided, known) {
		known.decideAt = time.Now().Add(decisionDelay)
		r.undecided = append(r.undecided, known)
	}
	return true, failed
}

// addAttempts adds new attempts to an end and reports whether there were any. The caller holds mu.
func (r *Registry) addAttempts(e *knownEnd, attempts []Attempt) bool {
	added := false
	for _, a := range attempts {
		if len(e.Attempts) >= r.cfg.MaxAttempts || slices.ContainsFunc(e.Attempts, a.isSame) {
			continue
		}
		added = true
		known := slices.ContainsFunc(e.Attempts, func(b Attempt) bool { return b.Key.Hash == a.Key.Hash })
		e.Attempts = append(e.Attempts, a)
		if known {
			continue
		}
		s, ok := r.suspects[a.Key.Hash]
		if !ok {
			s = &suspect{
				key: a.Key,
			}
			r.suspects[a.Key.Hash] = s
		}
		s.succeeded = s.succeeded || a.Succeeded
		s.ends = append(s.ends, e)
		slices.SortStableFunc(s.ends, func(a, b *knownEnd) int { return a.At.Compare(b.At) })
	}
	return added
}

// dropOldEnds drops the ends that are over the bounds if another one is added. The caller holds mu.
func (r *Registry) dropOldEnds() {
	for len(r.oldest) > 0 {
		e := r.ends[r.oldest[0]]
		if len(r.oldest) < r.cfg.MaxEnds && time.Since(e.At) < r.cfg.EvidenceTTL {
			return
		}
		r.oldest = r.oldest[1:]
		delete(r.ends, e.Incarnation)
		r.undecided = slices.DeleteFunc(r.undecided, func(u *knownEnd) bool { return u == e })
		for _, a := range e.Attempts {
			r.dropSuspectEnd(a.Key.Hash, e)
		}
	}
}

// dropSuspectEnd drops an end of a suspect, and the suspect with its last one. Several attempts of the end may have had
// the key: the first one has then dropped it. The caller holds mu.
func (r *Registry) dropSuspectEnd(key uint64, e *knownEnd) {
	s, ok := r.suspects[key]
	if !ok {
		return
	}
	s.ends = slices.DeleteFunc(s.ends, func(own *knownEnd) bool { return own == e })
	if len(s.ends) == 0 {
		delete(r.suspects, key)
	}
}

// mergeSuccess records a success that clears a suspect, and ends its hold. It reports whether the others must know:
// not if the key has succeeded since the last end already. The caller holds mu.
func (r *Registry) mergeSuccess(o Success) bool {
	h, held := r.holds[o.Key]
	if held && o.At.After(h.lastEnd) {
		delete(r.holds, o.Key)
		r.logHoldEnded(h.Hold, "a request succeeded")
	}
	s, ok := r.suspects[o.Key]
	if !ok {
		return held
	}
	last := s.ends[len(s.ends)-1].At
	if !o.At.After(last) || s.success.After(last) {
		return false
	}
	s.success = o.At
	return true
}
