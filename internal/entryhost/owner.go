package entryhost

import (
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/stageowner"
)

// avoidTime is how long a daemon that did not respond as owner is not used as owner.
const avoidTime = time.Second

// owner returns the owner of the stage work.
func (s *submitter) owner() membership.Member {
	return stageowner.Choose(stageowner.View{
		Self:      s.daemon.members.Self(),
		Running:   time.Since(s.daemon.started),
		Members:   s.daemon.members.Members(),
		Addresses: s.addresses(),
		Avoided:   s.avoided.Contains,
	})
}

// acquireOwnership starts a new term if this daemon is to be the owner and has no term
// yet. A daemon that does not know the routes and upstreams is none, and says so by its revision.
func (s *submitter) acquireOwnership() {
	self := s.daemon.members.Self()
	if time.Since(s.daemon.started) < stageowner.JoinPeriod || self.Revision == 0 || self.Term > 0 || self.State != membership.Alive || s.owner().Incarnation != self.Incarnation {
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

// avoidOwner excludes an owner for avoidTime, or for stageowner.JoinPeriod if only its address is
// known: by then the daemons know each other.
func (s *submitter) avoidOwner(owner membership.Member) {
	d := avoidTime
	if stageowner.KnownByAddress(owner) {
		d = stageowner.JoinPeriod
	}
	s.avoided.Add(owner.Incarnation, d)
}
