package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a suspect that may be held.
type candidate struct {
	suspect *suspect
	// sequence is the number of ends, one after the other, since the last success, and ends that of all since then.
	sequence int
	ends     int
}

// minSequence returns the sequence of ends from which on the key is held. That requests with it have succeeded before
// speaks for it.
func (c candidate) minSequence() int {
	if c.suspect.succeeded {
		return certainEnds
	}
	return minEnds
}

// decideDue decides about the ends whose evidence counts by now. The caller holds mu.
func (r *Registry) decideDue() {
	now := time.Now()
	for len(r.undecided) > 0 && !now.Before(r.undecided[0].decideAt) {
		e := r.undecided[0]
		r.undecided = r.undecided[1:]
		r.decide(e)
	}
}

// decide holds the keys that explain the ends, after new evidence of one: those with the most ends first, since an end
// that one key explains is no evidence against others. While several explain the same ends, more evidence is awaited, up
// to certainEnds; the content of a request is held at once, since no other request has it. The caller holds mu.
func (r *Registry) decide(e *knownEnd) {
	for {
		best := r.bestCandidates(e)
		tied := len(best) > 1
		undecided := slices.DeleteFunc(highestRank(best), func(c candidate) bool {
			_, held := r.holds[c.suspect.key.Hash]
			return held || tied && c.ends < certainEnds && !c.suspect.key.isContent()
		})
		if len(undecided) == 0 {
			return
		}
		for _, c := range undecided {
			r.hold(c, e.decideAt)
		}
	}
}

// recordHeldEnds records an end with held keys. An attempt that began after the end of a hold is a trial that has failed,
// also if the end was known already by another attempt with the key. It returns the holds that follow such failures. The
// caller holds mu.
func (r *Registry) recordHeldEnds(e *knownEnd) []Hold {
	var failed []Hold
	for _, a := range e.Attempts {
		h, ok := r.holds[a.Key.Hash]
		if !ok {
			continue
		}
		if e.At.After(h.lastEnd) {
			h.lastEnd = e.At
			h.Ends++
		}
		if a.Began.After(h.until()) {
			h.Hold = h.WithFailure(e.At)
			h.trial = trial{}
			r.logHeld(h.Hold, "a trial failed")
			failed = append(failed, h.Hold)
		}
	}
	return failed
}

// bestCandidates returns the candidates among the keys of an end that explain the most ends. Other keys have no new
// evidence. The content of a request is one even if it is held, so that a part of its prompt is not held for the
// same ends. The caller holds mu.
func (r *Registry) bestCandidates(e *knownEnd) []candidate {
	var best []candidate
	for _, a := range e.Attempts {
		if _, held := r.holds[a.Key.Hash]; held && !a.Key.isContent() {
			continue
		}
		c := r.candidate(r.suspects[a.Key.Hash])
		if c.sequence < c.minSequence() {
			continue
		}
		if len(best) > 0 {
			order := c.compare(best[0])
			if order < 0 {
				continue
			}
			if order > 0 {
				best = best[:0]
			}
		}
		best = append(best, c)
	}
	return best
}

// compare orders candidates by the ends that they explain. One without an earlier success comes before all others.
func (c candidate) compare(o candidate) int {
	if c.suspect.succeeded != o.suspect.succeeded {
		return cmp.Compare(c.earlierSuccesses(), o.earlierSuccesses())
	}
	return cmp.Or(cmp.Compare(c.ends, o.ends), cmp.Compare(c.sequence, o.sequence))
}

func (c candidate) earlierSuccesses() int {
	if c.suspect.succeeded {
		return -1
	}
	return 0
}

// highestRank returns the candidates with the highest rank, which the fewest sound requests share.
func highestRank(list []candidate) []candidate {
	highest := 0
	for _, c := range list {
		highest = max(highest, c.suspect.key.Rank)
	}
	return slices.DeleteFunc(list, func(c candidate) bool { return c.suspect.key.Rank < highest })
}

// candidate returns what speaks against a suspect. The caller holds mu.
func (r *Registry) candidate(s *suspect) candidate {
	c := candidate{
		suspect: s,
	}
	var last *knownEnd
	for _, e := range s.ends {
		if !e.At.After(s.success) || r.explained(e, s) {
			continue
		}
		c.ends++
		if last == nil || s.follow(e, last) {
			c.sequence++
			last = e
		}
	}
	return c
}

// explained reports whether another key that is held explains an end, so that it is no evidence against a suspect. A
// key whose ends the suspect explains, and more, does not; nor does the content of a request explain anything to
// a part of prompts, which may be the reason. The caller holds mu.
func (r *Registry) explained(e *knownEnd, s *suspect) bool {
	return slices.ContainsFunc(e.Attempts, func(a Attempt) bool {
		_, held := r.holds[a.Key.Hash]
		if !held || a.Key.Hash == s.key.Hash || a.Key.isContent() && !s.key.isContent() {
			return false
		}
		return !r.explains(s, a.Key.Hash)
	})
}

// hold holds a candidate's key since a time. Keys that are held for ends that this one explains, and that has ended
// more, are released. The caller holds mu.
func (r *Registry) hold(c candidate, since time.Time) {
	s := c.suspect
	h := &hold{
		Hold: Hold{
			Key:   s.key.Hash,
			Rank:  s.key.Rank,
			Since: since,
			Ends:  len(s.ends),
		},
		lastEnd: s.ends[len(s.ends)-1].At,
	}
	r.addHold(h)
	r.logHeld(h.Hold, "upstreams ended")
	for key, other := range r.holds {
		if key != s.key.Hash && other.Failures == 0 && r.explains(s, key) {
			delete(r.holds, key)
			r.logHoldEnded(other.Hold, "another key explains the ends")
		}
	}
}

// explains reports whether a suspect was there at all ends that are held against another key, and at others. One with
// which requests have succeeded before, such as a part that all prompts share, is no better explanation than one
// without. The caller holds mu.
func (r *Registry) explains(s *suspect, key uint64) bool {
	other, ok := r.suspects[key]
	if !ok || len(other.ends) >= len(s.ends) || s.succeeded && !other.succeeded {
		return false
	}
	return !slices.ContainsFunc(other.ends, func(e *knownEnd) bool { return !slices.Contains(s.ends, e) })
}
