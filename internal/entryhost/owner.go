package entryhost

import (
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/hostcapacity"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/settings"
)

const (
	// avoidTime is how long a daemon that did not respond as owner is not used as owner.
	avoidTime = time.Second
	// joinPeriod is how long after its start a daemon does not acquire ownership, so that it
	// has learned of all daemons first: 35 that start together need 1.1 s on the users'
	// machines.
	joinPeriod = 2 * time.Second
	// startGroupMillis is the length in milliseconds of the periods by which start times
	// are compared: daemons that start in the same period count as started together.
	startGroupMillis = 5000
)

// milliCoresPerCore is the number of thousandths in a core.
const milliCoresPerCore = 1000

// capacityOf returns the capacity of this daemon's host.
func capacityOf(s settings.Daemon) hostcapacity.Capacity {
	return hostcapacity.Capacity{
		MilliCores: uint32(s.Cores * milliCoresPerCore),
	}
}

// owner returns the owner of the stage work. Among the daemons that are alive and know
// the routes, it is one on a host of the largest class, of those the one with the highest term, or, while none
// has acquired ownership, the one that is to acquire it. During its own joinPeriod a daemon may not have learned of
// the others yet. It then takes the first of the known addresses, so that daemons that start
// together agree, unless it knows a daemon that has been running for longer. It does the same as long
// as it knows no daemon that knows the routes.
func (s *submitter) owner() membership.Member {
	self := s.daemon.members.Self()
	owner := self
	found, older := false, false
	members := s.daemon.members.Members()
	largest := membership.LargestHost(members)
	for _, m := range members {
		if m.State != membership.Alive || m.Revision == 0 || s.avoided.Contains(m.Incarnation) {
			continue
		}
		// Versions count up from the start time of the incarnation in Unix milliseconds.
		older = older || m.Version+uint64(joinPeriod.Milliseconds()) < self.Version
		if !found || takesPrecedence(m, owner, largest) {
			owner = m
			found = true
		}
	}
	joining := owner.Term == 0 && !older && time.Since(s.daemon.started) < joinPeriod
	if joining || !found {
		return s.firstByAddress(self)
	}
	return owner
}

// firstByAddress returns the member on a host of the largest class whose address has the lowest hash, among this daemon
// and the known addresses that are not avoided.
func (s *submitter) firstByAddress(self membership.Member) membership.Member {
	addresses := s.addresses()
	largest := self.Capacity
	for _, p := range addresses {
		largest = largest.Max(p.Capacity)
	}
	best := self
	for _, p := range addresses {
		candidate := membership.Member{
			Incarnation: p.Addr,
			PeerAddr:    p.Addr,
			Capacity:    p.Capacity,
		}
		if !s.avoided.Contains(p.Addr) && takesPrecedence(candidate, best.WithTerm(0).WithVersion(0), largest) {
			best = candidate
		}
	}
	return best
}

// takesPrecedence reports whether a takes precedence over b as owner. It compares the class of the
// host's capacity (larger first), the term (higher first), the start time in steps of startGroupMillis
// (later first), and the hash of the address. So ownership moves to a larger host only if that one is at least twice as
// large.
func takesPrecedence(a, b membership.Member, largest hostcapacity.Capacity) bool {
	if x, y := a.Capacity.Class(largest), b.Capacity.Class(largest); x != y {
		return x < y
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	if x, y := a.Version/startGroupMillis, b.Version/startGroupMillis; x != y {
		return x > y
	}
	return ident.Hash(a.PeerAddr) < ident.Hash(b.PeerAddr)
}

// acquireOwnership starts a new term if this daemon is to be the owner and has no term
// yet. A daemon that does not know the routes and upstreams is none, and says so by its revision.
func (s *submitter) acquireOwnership() {
	self := s.daemon.members.Self()
	if time.Since(s.daemon.started) < joinPeriod || self.Revision == 0 || self.Term > 0 || self.State != membership.Alive || s.owner().Incarnation != self.Incarnation {
		return
	}
	last := uint64(0)
	for _, m := range s.daemon.members.Members() {
		last = max(last, m.Term)
	}
	s.daemon.members.SetTerm(last + 1)
	s.daemon.logger.Info("acquired ownership of the stage work", zap.Uint64("term", last+1))
}

// owns reports whether this daemon owns the stage work.
func (s *submitter) owns() bool {
	return s.owner().Incarnation == s.daemon.members.Self().Incarnation
}

// yieldAfterSuspension makes this daemon no owner for avoidTime if it did not run for so long that the others have
// replaced it. Until it has heard from them, it takes the one that they chose for the owner.
func (s *submitter) yieldAfterSuspension(gap time.Duration) {
	if self := s.daemon.members.Self(); gap > heartbeatTimeout && self.Term > 0 {
		s.avoided.Add(self.Incarnation, avoidTime)
		s.daemon.logger.Info("stage work is left to another daemon after a suspension", zap.Duration("suspended_ms", gap))
	}
}

// avoidOwner excludes an owner for avoidTime, or for joinPeriod if only its address is
// known: by then the daemons know each other.
func (s *submitter) avoidOwner(owner membership.Member) {
	d := avoidTime
	if knownByAddress(owner) {
		d = joinPeriod
	}
	s.avoided.Add(owner.Incarnation, d)
}
