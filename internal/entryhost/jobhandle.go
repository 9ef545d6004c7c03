package entryhost

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/panics"
	"sequoiafork/internal/peer"
	"sequoiafork/internal/stageowner"
	"sequoiafork/internal/stagework"
)

const (
	// ownerCheckInterval is the time between two checks whether the owner of a job is alive.
	ownerCheckInterval = 100 * time.Millisecond
	// maxResubmissions bounds how often one job is submitted again.
	maxResubmissions = 8
	// minResubmitDelay and maxResubmitDelay bound the delay before a job that was lost more than once is submitted
	// again. It doubles with each time.
	minResubmitDelay = 5 * time.Millisecond
	maxResubmitDelay = 100 * time.Millisecond
)

// jobHandle is the handle of a job submitted to the owner or to this daemon's own scheduler. If
// the connection breaks, or the owner dies or hands the job off, the job is submitted again with
// the results that exist already: to the same owner, which still has the job, or to the next.
type jobHandle struct {
	submitter *submitter

	mu            sync.Mutex // guards the fields below
	job           stagework.Job
	place         jobPlace
	resubmissions int
	released      bool
}

// jobPlace is where a job was accepted: at remote, a job of owner, or else at local, a job of
// this daemon's own scheduler.
type jobPlace struct {
	owner  membership.Member
	remote *peer.RemoteJob
	local  *stagework.SubmittedJob
}

type waitResult struct {
	handles []string
	err     error
}

// wait waits for the handles of the results.
func (p jobPlace) wait(ctx context.Context) ([]string, error) {
	if p.remote != nil {
		return p.remote.Wait()
	}
	return p.local.Wait(ctx)
}

// release ends the job.
func (p jobPlace) release() {
	if p.remote != nil {
		p.remote.Release()
		return
	}
	p.local.Release()
}

// results returns the results of the pieces that have run, given those that existed before.
func (p jobPlace) results(before []stagework.PieceResult) []stagework.PieceResult {
	if p.remote != nil {
		return p.remote.Results()
	}
	produced, _ := p.local.Results(0)
	return append(slices.Clone(before), produced...)
}

// Wait implements forward.SubmittedJob.
func (h *jobHandle) Wait(ctx context.Context) ([]string, error) {
	for {
		place := h.currentPlace()
		handles, err := h.waitAt(ctx, place)
		if err == nil {
			if place.remote != nil {
				go h.keep(context.WithoutCancel(ctx), place)
			}
			return handles, nil
		}
		if ctx.Err() != nil || !mayResubmit(err) {
			return nil, err
		}
		if err := h.resubmit(ctx, err); err != nil {
			h.submitter.daemon.scheduler.FreeResults(h.job.Results)
			return nil, err
		}
	}
}

// mayResubmit reports whether a job that ended with an error may be submitted again.
func mayResubmit(err error) bool {
	var lost *peer.CallError
	var ownerChanged *stagework.OwnerChangedError
	return errors.As(err, &lost) || errors.As(err, &ownerChanged) || errors.Is(err, errOwnerDead)
}

func (h *jobHandle) currentPlace() jobPlace {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.place
}

// waitAt waits for the result of the job at one place. The error is errOwnerDead if the owner
// there dies.
func (h *jobHandle) waitAt(ctx context.Context, place jobPlace) ([]string, error) {
	done := make(chan waitResult, 1)
	go func() {
		handles, err := panics.Value(h.submitter.daemon.logger, "stage_wait", func() ([]string, error) { return place.wait(ctx) })
		done <- waitResult{
			handles: handles,
			err:     err,
		}
	}()
	watch := time.NewTicker(ownerCheckInterval)
	defer watch.Stop()
	for {
		select {
		case r := <-done:
			return r.handles, r.err
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-watch.C:
			if h.submitter.ownerDead(place) {
				return nil, errOwnerDead
			}
		}
	}
}

var errOwnerDead = errors.New("the owner of the stage work is dead")

// ownerDead reports whether the remote owner of a job is dead or no longer a member.
func (s *submitter) ownerDead(place jobPlace) bool {
	if place.remote == nil || stageowner.KnownByAddress(place.owner) {
		return false // Membership does not know it; the call itself fails if it dies.
	}
	m, ok := s.daemon.members.Lookup(place.owner.Incarnation)
	return !ok || m.State == membership.Dead
}

// keep submits the job again if the connection to its owner breaks while an engine fetches the
// results, since the owner would free them.
func (h *jobHandle) keep(ctx context.Context, place jobPlace) {
	for {
		err := place.remote.AwaitEnd()
		if err == nil || h.isReleased() {
			return
		}
		if h.resubmit(ctx, err) != nil {
			return // An engine may still fetch the results. They expire.
		}
		place = h.currentPlace()
		if place.remote == nil {
			return
		}
		if _, err := place.remote.Wait(); err != nil && !mayResubmit(err) {
			return
		}
	}
}

func (h *jobHandle) isReleased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.released
}

// resubmit submits the job again with its existing results: to the same owner if only the
// connection to it was lost, otherwise to the next one.
func (h *jobHandle) resubmit(ctx context.Context, why error) error {
	h.mu.Lock()
	old := h.place
	h.job.Results = old.results(h.job.Results)
	h.job.Resubmitted = true
	job := h.job
	h.resubmissions++
	delay := resubmitDelay(h.resubmissions)
	tooMany := h.resubmissions > maxResubmissions
	h.mu.Unlock()
	old.release()
	if errors.Is(why, errOwnerDead) || tooMany {
		h.submitter.avoidOwner(old.owner)
	}
	h.submitter.daemon.logger.Info("resubmitting job",
		zap.String("request_id", job.RequestID), zap.String("stage_owner", old.owner.Incarnation),
		zap.Int("results", len(job.Results)), zap.Error(why))
	sleep(ctx, delay)
	place, err := h.submitter.submit(ctx, job)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.place = place
	if h.released {
		place.release()
	}
	return nil
}

// resubmitDelay returns the delay before a job is submitted again. The first time has number 1 and no delay, since a
// single broken connection is the common case.
func resubmitDelay(number int) time.Duration {
	if number <= 1 {
		return 0
	}
	const maxDoublings = 5 // maxResubmitDelay is reached earlier.
	return min(minResubmitDelay<<min(number-2, maxDoublings), maxResubmitDelay)
}

// Release implements forward.SubmittedJob. This daemon frees the results of a job whose
// owner is dead.
func (h *jobHandle) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	h.place.release()
	if h.submitter.ownerDead(h.place) {
		h.submitter.daemon.scheduler.FreeResults(h.place.results(h.job.Results))
	}
}
