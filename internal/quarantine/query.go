package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Active reports whether there are suspects or holds. While it is false, no request needs its keys.
func (r *Registry) Active() bool { return r.active.Load() }

// Blocked reports whether a request must not be sent whoever sends it: one of its keys is held, and no trial is due.
func (r *Registry) Blocked(req Request) bool {
	if !r.Active() {
		return false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decideDue()
	return slices.ContainsFunc(req.Keys, func(k Key) bool {
		h, ok := r.holds[k.Hash]
		return ok && now.Before(h.until())
	})
}

// DecisionIn returns the time until it is decided whether a request is held, zero unless three upstreams have ended one
// after the other with one of its keys.
func (r *Registry) DecisionIn(req Request) time.Duration {
	if !r.Active() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := time.Duration(0)
	for _, k := range req.Keys {
		s, ok := r.suspects[k.Hash]
		if !ok {
			continue
		}
		last := s.ends[len(s.ends)-1]
		if left := time.Until(last.decideAt); left > wait && r.candidate(s).sequence >= minEnds {
			wait = left
		}
	}
	return wait
}

// Observations returns all that a daemon that joins must be told.
func (r *Registry) Observations() []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Observation
	for _, incarnation := range r.oldest {
		e := r.ends[incarnation].End
		e.Attempts = slices.Clone(e.Attempts)
		list = append(list, e)
	}
	for key, s := range r.suspects {
		if !s.success.IsZero() {
			list = append(list, Success{
				Key: key,
				At:  s.success,
			})
		}
	}
	for _, h := range r.holds {
		list = append(list, h.Hold)
	}
	return list
}

// Held is a hold as operators see it.
type Held struct {
	Key      uint64    `json:"key"`
	Since    time.Time `json:"since"`
	Until    time.Time `json:"until"`
	Ends     int       `json:"ends"`
	Failures int       `json:"failures"`
	// Refused is the number of requests that this daemon has refused.
	Refused int `json:"refused"`
}

// Holds returns the keys that are held, the oldest first.
func (r *Registry) Holds() []Held {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decideDue()
	var list []Held
	for _, h := range r.holds {
		list = append(list, Held{
			Key:      h.Key,
			Since:    h.Since,
			Until:    h.until(),
			Ends:     h.Ends,
			Failures: h.Failures,
			Refused:  h.refused,
		})
	}
	slices.SortFunc(list, func(a, b Held) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Key, b.Key)) })
	return list
}
