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
	"sequoiafork/internal/stagework"
)

const (
	// ownerPatience is how long the owner may take to say whether it takes a job.
	ownerPatience = 300 * time.Millisecond
	// startSpread is the time within which the users' machines start together, with the
	// start of the program, and startAgain the pause before one is tried again meanwhile.
	startSpread = 600 * time.Millisecond
	startAgain  = 30 * time.Millisecond
	// submitTries is how many owners are asked before this daemon does the work, and
	// joinTries how many addresses while nobody is known to have the duty.
	submitTries = 2
	joinTries   = 8
)

// stages has the stages of requests done by the daemon that owns the stage upstreams,
// or by this one while the owner can't be reached.
type stages struct {
	host *Daemon

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

// Submit implements forward.Stages.
func (s *stages) Submit(ctx context.Context, j stagework.Job) (forward.SubmittedJob, error) {
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
