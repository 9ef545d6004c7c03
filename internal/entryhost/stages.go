package entryhost

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/peer"
	"sequoiafork/internal/stagework"
)

const (
	// ownerPatience is how long the owner may take to say whether it takes a job.
	ownerPatience = 300 * time.Millisecond
	// ownerPause is how long an owner that did not answer is not asked again.
	ownerPause = time.Second
	// ownerWatch is how often a daemon looks whether the owner of its jobs lives.
	ownerWatch = 100 * time.Millisecond
	// joinTime is how long after its start a daemon takes no duty, so that it has heard
	// of all daemons: 35 that start together take 1.1 s on the users' machines.
	joinTime = 2 * time.Second
	// startSpread is the time within which the users' machines start together, with the
	// start of the program, and startAgain the pause before one is tried again meanwhile.
	startSpread = 600 * time.Millisecond
	startAgain  = 30 * time.Millisecond
	// startStep is the time in milliseconds within which daemons count as started
	// together.
	startStep = 5000
	// submitTries is how many owners are asked before this daemon does the work, and
	// joinTries how many addresses while nobody is known to have the duty.
	submitTries = 2
	joinTries   = 8
)

// stages has the stages of requests done by the daemon that owns the stage upstreams,
// or by this one while the owner can't be reached.
type stages struct {
	host *Host

	mu sync.Mutex
	// avoided says until when an owner is not asked.
	avoided map[string]time.Time
	// known are the addresses of daemons, living or not.
	known map[string]bool
	// informed says that addresses have been read from the platform.
	informed bool
}

// learn adds addresses of daemons.
func (s *stages) learn(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = make(map[string]bool)
	}
	for _, addr := range addrs {
		s.known[addr] = true
	}
}

// inform adds the addresses that the platform has.
func (s *stages) inform(addrs []string) {
	s.learn(addrs)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.informed = true
}

// await waits until this daemon can know whom to give jobs to.
func (s *stages) await(ctx context.Context) {
	for !s.canKnow() && ctx.Err() == nil {
		pause(ctx, startAgain)
	}
}

func (s *stages) canKnow() bool {
	s.mu.Lock()
	informed := s.informed
	s.mu.Unlock()
	return informed || time.Since(s.host.started) >= startSpread || s.owner().Term > 0
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *stages) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.known))
}

// owner returns the daemon that owns the stage upstreams: the one that took the duty
// last among those that are alive and know the routes, or else the one that is to take
// it. Soon after its own start, when a daemon may not have heard of the others yet, that
// is the first of the known addresses, so that daemons that start together agree.
func (s *stages) owner() membership.Member {
	self := s.host.members.Self()
	owner := self
	found := false
	for _, m := range s.host.members.Members() {
		if m.State != membership.Alive || m.Revision == 0 || s.avoids(m.Incarnation) {
			continue
		}
		if !found || goesBefore(m, owner) {
			owner = m
			found = true
		}
	}
	if owner.Term == 0 && time.Since(s.host.started) < joinTime {
		return s.first(self)
	}
	return owner
}

// first returns the first of all known addresses that is not avoided.
func (s *stages) first(self membership.Member) membership.Member {
	best := self
	for _, addr := range s.addresses() {
		if !s.avoids(addr) && hash(addr) < hash(best.PeerAddr) {
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
func goesBefore(a, b membership.Member) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	if x, y := a.Version/startStep, b.Version/startStep; x != y {
		return x > y
	}
	return hash(a.PeerAddr) < hash(b.PeerAddr)
}

// take takes the duty if this daemon is to have it and has not taken it yet.
func (s *stages) take() {
	self := s.host.members.Self()
	if time.Since(s.host.started) < joinTime || self.Term > 0 || self.State != membership.Alive || s.owner().Incarnation != self.Incarnation {
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
func (s *stages) owns() bool {
	return s.owner().Incarnation == s.host.members.Self().Incarnation
}

func (s *stages) avoids(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.avoided[incarnation]
	if ok && time.Now().After(until) {
		delete(s.avoided, incarnation)
		return false
	}
	return ok
}

// avoid leaves an owner alone for a while; an address at which none was found, until
// the daemons know each other.
func (s *stages) avoid(owner membership.Member) {
	d := ownerPause
	if byAddress(owner) {
		d = joinTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.avoided == nil {
		s.avoided = make(map[string]time.Time)
	}
	s.avoided[owner.Incarnation] = time.Now().Add(d)
}

// Submit implements forward.Stages.
func (s *stages) Submit(ctx context.Context, j stagework.Job) (forward.Ticket, error) {
	s.await(ctx)
	for tries := 0; ; {
		owner := s.owner()
		if owner.Incarnation == s.host.members.Self().Incarnation || tries >= mostTries(owner) {
			break
		}
		t, err := s.host.node.StageWork(ctx, owner, j, ownerPatience)
		if err == nil {
			return &ticket{
				stages: s,
				owner:  owner,
				job:    j,
				remote: t,
			}, nil
		}
		var refused *stagework.RefusedError
		if errors.As(err, &refused) || ctx.Err() != nil {
			return nil, err
		}
		if byAddress(owner) && time.Since(s.host.started) < startSpread {
			pause(ctx, startAgain) // It may be about to start.
			continue
		}
		tries++
		s.avoid(owner)
		s.host.logger.Info("stage owner not reached",
			zap.String("request_id", j.RequestID), zap.String("stage_owner", owner.Incarnation), zap.Error(err))
	}
	t, err := s.host.scheduler.Submit(j)
	if err != nil {
		return nil, err
	}
	return &ticket{
		stages: s,
		job:    j,
		local:  t,
	}, nil
}

// byAddress reports whether a member is known by its address only.
func byAddress(m membership.Member) bool { return m.Version == 0 }

func mostTries(owner membership.Member) int {
	if byAddress(owner) {
		return joinTries
	}
	return submitTries
}

// ticket is a job at the owner or at this daemon's own scheduler. If the owner ends or
// gives it up to another, it goes to the next with the results that it has.
type ticket struct {
	stages *stages
	owner  membership.Member
	job    stagework.Job
	remote *peer.StageTicket
	local  *stagework.Ticket
	next   forward.Ticket
}

type stageResult struct {
	handles []string
	err     error
}

// Wait implements forward.Ticket.
func (t *ticket) Wait(ctx context.Context) ([]string, error) {
	done := make(chan stageResult, 1)
	go func() {
		r := stageResult{}
		if t.remote != nil {
			r.handles, r.err = t.remote.Wait()
		} else {
			r.handles, r.err = t.local.Wait(ctx)
		}
		done <- r
	}()
	watch := time.NewTicker(ownerWatch)
	defer watch.Stop()
	for {
		select {
		case r := <-done:
			var lost *peer.CallError
			var moved *stagework.MovedError
			if (errors.As(r.err, &lost) || errors.As(r.err, &moved)) && ctx.Err() == nil {
				return t.again(ctx, r.err)
			}
			return r.handles, r.err
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-watch.C:
			if t.ownerDead() {
				return t.again(ctx, errOwnerDead)
			}
		}
	}
}

var errOwnerDead = errors.New("the owner of the stage upstreams is dead")

func (t *ticket) ownerDead() bool {
	if t.remote == nil {
		return false
	}
	if byAddress(t.owner) {
		return false // The call itself tells its end.
	}
	m, ok := t.stages.host.members.Lookup(t.owner.Incarnation)
	return !ok || m.State == membership.Dead
}

// again gives the job to the next owner.
func (t *ticket) again(ctx context.Context, why error) ([]string, error) {
	t.job.Made = t.made()
	var moved *stagework.MovedError
	if !errors.As(why, &moved) {
		t.stages.avoid(t.owner)
	}
	t.release()
	t.stages.host.logger.Info("job goes to the next stage owner",
		zap.String("request_id", t.job.RequestID), zap.String("stage_owner", t.owner.Incarnation),
		zap.Int("results", len(t.job.Made)), zap.Error(why))
	next, err := t.stages.Submit(ctx, t.job)
	if err != nil {
		t.stages.host.scheduler.Free(t.job.Made)
		return nil, err
	}
	t.next = next
	return next.Wait(ctx)
}

func (t *ticket) made() []stagework.Made {
	if t.remote != nil {
		return t.remote.Made()
	}
	made, _ := t.local.Made(0)
	return append(slices.Clone(t.job.Made), made...)
}

func (t *ticket) release() {
	if t.remote != nil {
		t.remote.Release()
		return
	}
	t.local.Release()
}

// Release implements forward.Ticket. The results of a job whose owner has ended are
// freed by this daemon.
func (t *ticket) Release() {
	if t.next != nil {
		t.next.Release()
		return
	}
	t.release()
	if t.ownerDead() {
		t.stages.host.scheduler.Free(t.made())
	}
}
