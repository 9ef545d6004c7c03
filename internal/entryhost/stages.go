package entryhost

import (
	"context"
	"errors"
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
	// submitTries is how many owners are asked before this daemon does the work.
	submitTries = 2
)

// stages has the stages of requests done by the daemon that owns the stage upstreams,
// or by this one while the owner can't be reached.
type stages struct {
	host *Host

	mu sync.Mutex
	// avoided says until when an owner is not asked.
	avoided map[string]time.Time
}

// owner returns the daemon that owns the stage upstreams: the one that has been alive
// for longest. A daemon that joins never takes the duty over, so that it moves only
// when its holder ends.
func (s *stages) owner() membership.Member {
	self := s.host.members.Self()
	owner := self
	for _, m := range s.host.members.Members() {
		if m.State != membership.Alive || s.avoid(m.Incarnation) {
			continue
		}
		if owner.State != membership.Alive || older(m, owner) {
			owner = m
		}
	}
	return owner
}

func older(a, b membership.Member) bool {
	if a.Version != b.Version {
		return a.Version < b.Version
	}
	return a.Incarnation < b.Incarnation
}

func (s *stages) avoid(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.avoided[incarnation]
	if ok && time.Now().After(until) {
		delete(s.avoided, incarnation)
		return false
	}
	return ok
}

func (s *stages) avoidFor(incarnation string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.avoided == nil {
		s.avoided = make(map[string]time.Time)
	}
	s.avoided[incarnation] = time.Now().Add(d)
}

// Submit implements forward.Stages.
func (s *stages) Submit(ctx context.Context, j stagework.Job) (forward.Ticket, error) {
	for range submitTries {
		owner := s.owner()
		if owner.Incarnation == s.host.members.Self().Incarnation {
			break
		}
		t, err := s.host.node.StageWork(ctx, owner, j, ownerPatience)
		if err == nil {
			return &remoteTicket{
				stages: s,
				owner:  owner,
				job:    j,
				ticket: t,
			}, nil
		}
		var refused *stagework.RefusedError
		if errors.As(err, &refused) || ctx.Err() != nil {
			return nil, err
		}
		s.avoidFor(owner.Incarnation, ownerPause)
		s.host.logger.Info("stage owner not reached",
			zap.String("request_id", j.RequestID), zap.String("stage_owner", owner.Incarnation), zap.Error(err))
	}
	return s.host.scheduler.Submit(j)
}

// remoteTicket is a job at the owner. If the owner ends, the job goes to the next.
type remoteTicket struct {
	stages *stages
	owner  membership.Member
	job    stagework.Job
	ticket *peer.StageTicket
	next   forward.Ticket
}

type stageResult struct {
	handles []string
	err     error
}

// Wait implements forward.Ticket.
func (t *remoteTicket) Wait(ctx context.Context) ([]string, error) {
	done := make(chan stageResult, 1)
	go func() {
		handles, err := t.ticket.Wait()
		done <- stageResult{
			handles: handles,
			err:     err,
		}
	}()
	watch := time.NewTicker(ownerWatch)
	defer watch.Stop()
	for {
		select {
		case r := <-done:
			var lost *peer.CallError
			if errors.As(r.err, &lost) && ctx.Err() == nil {
				return t.again(ctx, r.err)
			}
			return r.handles, r.err
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-watch.C:
			m, ok := t.stages.host.members.Lookup(t.owner.Incarnation)
			if !ok || m.State == membership.Dead {
				return t.again(ctx, errOwnerDead)
			}
		}
	}
}

var errOwnerDead = errors.New("the owner of the stage upstreams is dead")

// again gives the job to the next owner.
func (t *remoteTicket) again(ctx context.Context, why error) ([]string, error) {
	t.ticket.Release()
	t.stages.avoidFor(t.owner.Incarnation, ownerPause)
	t.stages.host.logger.Info("stage owner lost, its job goes to the next",
		zap.String("request_id", t.job.RequestID), zap.String("stage_owner", t.owner.Incarnation), zap.Error(why))
	next, err := t.stages.Submit(ctx, t.job)
	if err != nil {
		return nil, err
	}
	t.next = next
	return next.Wait(ctx)
}

// Release implements forward.Ticket.
func (t *remoteTicket) Release() {
	t.ticket.Release()
	if t.next != nil {
		t.next.Release()
	}
}
