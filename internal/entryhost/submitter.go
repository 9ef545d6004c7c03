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
	submitTimeout = 300 * time.Millisecond
	// startSpread is the time within which the users' machines start together, with the
	// start of the program, and startAgain the pause before one is tried again meanwhile.
	startupWindow        = 600 * time.Millisecond
	startupRetryInterval = 30 * time.Millisecond
	// submitTries is how many owners are asked before this daemon does the work, and
	// joinTries how many addresses while nobody is known to have the duty.
	maxSubmitTries  = 2
	maxAddressTries = 8
)

// stages has the stages of requests done by the daemon that owns the stage upstreams,
// or by this one while the owner can't be reached.
type submitter struct {
	host *Daemon

	mu sync.Mutex
	// avoided says until when an owner is not asked.
	avoidedUntil map[string]time.Time
	// known are the addresses of daemons, living or not.
	knownAddresses map[string]bool
	// informed says that addresses have been read from the platform.
	platformAddressesRead bool
}

// learn adds addresses of daemons.
func (s *submitter) addAddresses(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.knownAddresses == nil {
		s.knownAddresses = make(map[string]bool)
	}
	for _, addr := range addrs {
		s.knownAddresses[addr] = true
	}
}

// inform adds the addresses that the platform has.
func (s *submitter) addPlatformAddresses(addrs []string) {
	s.addAddresses(addrs)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformAddressesRead = true
}

// await waits until this daemon can know whom to give jobs to.
func (s *submitter) awaitOwner(ctx context.Context) {
	for !s.ownerKnowable() && ctx.Err() == nil {
		sleep(ctx, startupRetryInterval)
	}
}

func (s *submitter) ownerKnowable() bool {
	s.mu.Lock()
	platformAddressesRead := s.platformAddressesRead
	s.mu.Unlock()
	return platformAddressesRead || time.Since(s.host.started) >= startupWindow || s.owner().Term > 0
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *submitter) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.knownAddresses))
}

// Submit implements forward.Stages.
func (s *submitter) Submit(ctx context.Context, j stagework.Job) (forward.SubmittedJob, error) {
	s.awaitOwner(ctx)
	for tries := 0; ; {
		owner := s.owner()
		if owner.Incarnation == s.host.members.Self().Incarnation || tries >= maxTries(owner) {
			break
		}
		t, err := s.host.node.StageWork(ctx, owner, j, submitTimeout)
		if err == nil {
			return &jobHandle{
				submitter: s,
				owner:     owner,
				job:       j,
				remote:    t,
			}, nil
		}
		var refused *stagework.RefusedError
		if errors.As(err, &refused) || ctx.Err() != nil {
			return nil, err
		}
		if knownByAddress(owner) && time.Since(s.host.started) < startupWindow {
			sleep(ctx, startupRetryInterval) // It may be about to start.
			continue
		}
		tries++
		s.avoidOwner(owner)
		s.host.logger.Info("stage owner not reached",
			zap.String("request_id", j.RequestID), zap.String("stage_owner", owner.Incarnation), zap.Error(err))
	}
	t, err := s.host.scheduler.Submit(j)
	if err != nil {
		return nil, err
	}
	return &jobHandle{
		submitter: s,
		job:       j,
		local:     t,
	}, nil
}

// byAddress reports whether a member is known by its address only.
func knownByAddress(m membership.Member) bool { return m.Version == 0 }

func maxTries(owner membership.Member) int {
	if knownByAddress(owner) {
		return maxAddressTries
	}
	return maxSubmitTries
}
