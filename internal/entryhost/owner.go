package entryhost

import (
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/membership"
)

const (
	// ownerPause is how long an owner that did not answer is not asked again.
	avoidTime = time.Second
	// joinTime is how long after its start a daemon takes no duty, so that it has heard
	// of all daemons: 35 that start together take 1.1 s on the users' machines.
	joinPeriod = 2 * time.Second
	// startStep is the time in milliseconds within which daemons count as started
	// together.
	startGroupMillis = 5000
)

// owner returns the daemon that owns the stage upstreams: the one that took the duty
// last among those that are alive and know the routes, or else the one that is to take
// it. Soon after its own start, when a daemon may not have heard of the others yet, that
// is the first of the known addresses, so that daemons that start together agree; but
// not beside daemons that have been up for longer.
func (s *submitter) owner() membership.Member {
	self := s.host.members.Self()
	owner := self
	found, older := false, false
	for _, m := range s.host.members.Members() {
		if m.State != membership.Alive || m.Revision == 0 || s.isAvoided(m.Incarnation) {
			continue
		}
		older = older || m.Version+uint64(joinPeriod.Milliseconds()) < self.Version
		if !found || takesPrecedence(m, owner) {
			owner = m
			found = true
		}
	}
	if owner.Term == 0 && !older && time.Since(s.host.started) < joinPeriod {
		return s.firstByAddress(self)
	}
	return owner
}

// first returns the first of all known addresses that is not avoided.
func (s *submitter) firstByAddress(self membership.Member) membership.Member {
	best := self
	for _, addr := range s.addresses() {
		if !s.isAvoided(addr) && hash(addr) < hash(best.PeerAddr) {
			best = membership.Member{
				Incarnation: addr,
				PeerAddr:    addr,
			}
		}
	}
	return best
}

// goesBefore orders daemons for the duty: who has it, who started last, by steps of
// startStep, and a hash of the address.
func takesPrecedence(a, b membership.Member) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	if x, y := a.Version/startGroupMillis, b.Version/startGroupMillis; x != y {
		return x > y
	}
	return hash(a.PeerAddr) < hash(b.PeerAddr)
}

// take takes the duty if this daemon is to have it and has not taken it yet.
func (s *submitter) acquireOwnership() {
	self := s.host.members.Self()
	if time.Since(s.host.started) < joinPeriod || self.Term > 0 || self.State != membership.Alive || s.owner().Incarnation != self.Incarnation {
		return
	}
	last := uint64(0)
	for _, m := range s.host.members.Members() {
		last = max(last, m.Term)
	}
	s.host.members.SetTerm(last + 1)
	s.host.logger.Info("stage upstreams owned by this daemon", zap.Uint64("term", last+1))
}

// owns reports whether this daemon owns the stage upstreams.
func (s *submitter) owns() bool {
	return s.owner().Incarnation == s.host.members.Self().Incarnation
}

func (s *submitter) isAvoided(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.avoidedUntil[incarnation]
	if ok && time.Now().After(until) {
		delete(s.avoidedUntil, incarnation)
		return false
	}
	return ok
}

// avoid leaves an owner alone for a while; an address at which none was found, until
// the daemons know each other.
func (s *submitter) avoidOwner(owner membership.Member) {
	d := avoidTime
	if knownByAddress(owner) {
		d = joinPeriod
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.avoidedUntil == nil {
		s.avoidedUntil = make(map[string]time.Time)
	}
	s.avoidedUntil[owner.Incarnation] = time.Now().Add(d)
}
