package quarantine

import (
	"slices"
	"time"
)

// suspect is a key that was there when upstreams ended.
type suspect struct {
	key  Key
	ends []suspectEnd
	// success is the time of the last success, zero if none is known.
	success time.Time
}

// suspectEnd is the end of an upstream with an attempt that had the key.
type suspectEnd struct {
	incarnation string
	at          time.Time
	began       time.Time
}

// Ended records that an upstream ended with attempts of this daemon, and returns what the other daemons must be told.
func (r *Registry) Ended(e End) []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(e.Attempts) == 0 || !r.mergeEnd(e) {
		return nil
	}
	return []Observation{
		e,
	}
}

// Succeeded records the success of a request of this daemon, and returns what the other daemons must be told.
func (r *Registry) Succeeded(req Request) []Observation {
	if !r.Active() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
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

// Merge records an observation of another daemon and reports whether it was new.
func (r *Registry) Merge(o Observation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch o := o.(type) {
	case End:
		return r.mergeEnd(o)
	case Success:
		return r.mergeSuccess(o)
	case Hold:
		return r.mergeHold(o)
	}
	return false
}

// mergeEnd adds the attempts of an end and reports whether any was new. The caller holds mu.
func (r *Registry) mergeEnd(e End) bool {
	if time.Since(e.At) >= r.cfg.EvidenceTTL {
		return false
	}
	known, ok := r.ends[e.Incarnation]
	if !ok {
		known = &End{
			Incarnation: e.Incarnation,
			At:          e.At,
		}
	}
	added := r.addAttempts(known, e.Attempts)
	if !added {
		return false
	}
	if !ok {
		r.ends[e.Incarnation] = known
		r.oldest = append(r.oldest, e.Incarnation)
		r.dropOldEnds()
	}
	r.active.Store(true)
	r.decide(known)
	return true
}

// addAttempts adds attempts with new keys to an end and reports whether there were any. The caller holds mu.
func (r *Registry) addAttempts(e *End, attempts []Attempt) bool {
	added := false
	for _, a := range attempts {
		if len(e.Attempts) >= r.cfg.MaxAttempts || slices.ContainsFunc(e.Attempts, func(b Attempt) bool { return b.Key.Hash == a.Key.Hash }) {
			continue
		}
		added = true
		e.Attempts = append(e.Attempts, a)
		s, ok := r.suspects[a.Key.Hash]
		if !ok {
			s = &suspect{
				key: a.Key,
			}
			r.suspects[a.Key.Hash] = s
		}
		s.ends = append(s.ends, suspectEnd{
			incarnation: e.Incarnation,
			at:          e.At,
			began:       a.Began,
		})
		slices.SortStableFunc(s.ends, func(a, b suspectEnd) int { return a.at.Compare(b.at) })
	}
	return added
}

// dropOldEnds drops ends over the bounds. The caller holds mu.
func (r *Registry) dropOldEnds() {
	for len(r.oldest) > 0 {
		e := r.ends[r.oldest[0]]
		if len(r.oldest) <= r.cfg.MaxEnds && time.Since(e.At) < r.cfg.EvidenceTTL {
			return
		}
		r.oldest = r.oldest[1:]
		delete(r.ends, e.Incarnation)
		for _, a := range e.Attempts {
			r.dropSuspectEnd(a.Key.Hash, e.Incarnation)
		}
	}
}

// dropSuspectEnd drops an end of a suspect, and the suspect with its last one. The caller holds mu.
func (r *Registry) dropSuspectEnd(key uint64, incarnation string) {
	s := r.suspects[key]
	s.ends = slices.DeleteFunc(s.ends, func(e suspectEnd) bool { return e.incarnation == incarnation })
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
	last := s.ends[len(s.ends)-1].at
	if !o.At.After(last) || s.success.After(last) {
		return false
	}
	s.success = o.At
	return true
}
