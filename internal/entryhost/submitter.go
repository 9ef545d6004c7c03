package entryhost

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/hostcapacity"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/stageowner"
	"sequoiafork/internal/stagework"
)

const (
	// submitTimeout is how long the owner may take to accept or reject a job.
	submitTimeout = 300 * time.Millisecond
	// startupWindow is the time within which the users' machines start together, including
	// the start of the program. Until it is over, an address that does not respond is
	// tried again after startupRetryInterval.
	startupWindow        = 600 * time.Millisecond
	startupRetryInterval = 30 * time.Millisecond
	// maxSubmitTries is the number of owners that are tried before this daemon runs the
	// job itself. maxAddressTries applies to owners of which only the address is known.
	maxSubmitTries  = 2
	maxAddressTries = 8
)

// submitter submits the stage jobs of requests to the owner of the stage work, or to
// this daemon's own scheduler while the owner is unreachable. It also determines the owner
// and acquires ownership.
type submitter struct {
	daemon *Daemon
	// avoided are the owners that did not respond.
	avoided membership.AvoidList

	mu sync.Mutex
	// knownAddresses are the addresses of daemons, alive or not, with the capacities of their hosts.
	knownAddresses map[string]hostcapacity.Capacity
	// platformAddressesRead reports that addresses have been read from the platform.
	platformAddressesRead bool
}

// addAddresses adds addresses of daemons. A capacity that is known stays known.
func (s *submitter) addAddresses(list []stageowner.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.knownAddresses == nil {
		s.knownAddresses = make(map[string]hostcapacity.Capacity)
	}
	for _, p := range list {
		if _, known := s.knownAddresses[p.Addr]; !known || p.Capacity.Known() {
			s.knownAddresses[p.Addr] = p.Capacity
		}
	}
}

// addPlatformAddresses adds addresses that were read from the platform.
func (s *submitter) addPlatformAddresses(list []stageowner.Address) {
	s.addAddresses(list)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformAddressesRead = true
}

// awaitOwner waits until this daemon has enough information to determine the owner.
func (s *submitter) awaitOwner(ctx context.Context) {
	for !s.ownerKnowable() && ctx.Err() == nil {
		sleep(ctx, startupRetryInterval)
	}
}

// ownerKnowable reports whether this daemon can determine the owner: the addresses have
// been read, the startup window is over, or a daemon has acquired ownership.
func (s *submitter) ownerKnowable() bool {
	s.mu.Lock()
	platformAddressesRead := s.platformAddressesRead
	s.mu.Unlock()
	return platformAddressesRead || time.Since(s.daemon.started) >= startupWindow || s.owner().Term > 0
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *submitter) addresses() []stageowner.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]stageowner.Address, 0, len(s.knownAddresses))
	for addr, capacity := range s.knownAddresses {
		list = append(list, stageowner.Address{
			Addr:     addr,
			Capacity: capacity,
		})
	}
	return list
}

// Submit implements forward.StageScheduler.
func (s *submitter) Submit(ctx context.Context, j stagework.Job) (forward.SubmittedJob, error) {
	place, err := s.submit(ctx, j)
	if err != nil {
		return nil, err
	}
	return &jobHandle{
		submitter: s,
		job:       j,
		place:     place,
	}, nil
}

// submit submits a job to the owner or, if no owner responds, to this daemon's own scheduler.
func (s *submitter) submit(ctx context.Context, j stagework.Job) (jobPlace, error) {
	s.awaitOwner(ctx)
	for tries := 0; ; {
		owner := s.owner()
		if owner.Incarnation == s.daemon.members.Self().Incarnation || tries >= maxTries(owner) {
			break
		}
		remote, err := s.daemon.node.StageWork(ctx, owner, j, submitTimeout)
		if err == nil {
			return jobPlace{
				owner:  owner,
				remote: remote,
			}, nil
		}
		var rejected *stagework.RejectedError
		if errors.As(err, &rejected) || ctx.Err() != nil {
			return jobPlace{}, err
		}
		if stageowner.KnownByAddress(owner) && time.Since(s.daemon.started) < startupWindow {
			sleep(ctx, startupRetryInterval) // The daemon may be about to start.
			continue
		}
		tries++
		s.avoidOwner(owner)
		s.daemon.logger.Info("stage owner unreachable",
			zap.String("request_id", j.RequestID), zap.String("stage_owner", owner.Incarnation), zap.Error(err))
	}
	local, err := s.daemon.scheduler.Submit(j)
	if err != nil {
		return jobPlace{}, err
	}
	return jobPlace{
		local: local,
	}, nil
}

// maxTries returns how many owners may be tried, given the current one.
func maxTries(owner membership.Member) int {
	if stageowner.KnownByAddress(owner) {
		return maxAddressTries
	}
	return maxSubmitTries
}
