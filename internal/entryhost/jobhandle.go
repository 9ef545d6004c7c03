package entryhost

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/peer"
	"sequoiafork/internal/stagework"
)

// ownerCheckInterval is the time between two checks whether the owner of a job is alive.
const ownerCheckInterval = 100 * time.Millisecond

// jobHandle is the handle of a job submitted to the owner or to this daemon's own scheduler.
// If the owner dies or hands the job off, it is submitted to the next owner with the results
// that exist already.
type jobHandle struct {
	submitter *submitter
	owner     membership.Member
	job       stagework.Job
	remote    *peer.RemoteJob
	local     *stagework.SubmittedJob
	next      forward.SubmittedJob
}

type waitResult struct {
	handles []string
	err     error
}

// Wait implements forward.SubmittedJob.
func (h *jobHandle) Wait(ctx context.Context) ([]string, error) {
	done := make(chan waitResult, 1)
	go func() {
		r := waitResult{}
		if h.remote != nil {
			r.handles, r.err = h.remote.Wait()
		} else {
			r.handles, r.err = h.local.Wait(ctx)
		}
		done <- r
	}()
	watch := time.NewTicker(ownerCheckInterval)
	defer watch.Stop()
	for {
		select {
		case r := <-done:
			var lost *peer.CallError
			var ownerChanged *stagework.OwnerChangedError
			if (errors.As(r.err, &lost) || errors.As(r.err, &ownerChanged)) && ctx.Err() == nil {
				return h.resubmit(ctx, r.err)
			}
			return r.handles, r.err
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-watch.C:
			if h.ownerDead() {
				return h.resubmit(ctx, errOwnerDead)
			}
		}
	}
}

var errOwnerDead = errors.New("the owner of the stage work is dead")

// ownerDead reports whether the remote owner of the job is dead or no longer a member.
func (h *jobHandle) ownerDead() bool {
	if h.remote == nil {
		return false
	}
	if knownByAddress(h.owner) {
		return false // Membership does not know it; the call itself fails if it dies.
	}
	m, ok := h.submitter.daemon.members.Lookup(h.owner.Incarnation)
	return !ok || m.State == membership.Dead
}

// resubmit submits the job to the next owner with its existing results, and waits for it. An
// owner that did not hand the job off is avoided for a while.
func (h *jobHandle) resubmit(ctx context.Context, why error) ([]string, error) {
	h.job.Results = h.existingResults()
	var ownerChanged *stagework.OwnerChangedError
	if !errors.As(why, &ownerChanged) {
		h.submitter.avoidOwner(h.owner)
	}
	h.releaseJob()
	h.submitter.daemon.logger.Info("resubmitting job to the next stage owner",
		zap.String("request_id", h.job.RequestID), zap.String("stage_owner", h.owner.Incarnation),
		zap.Int("results", len(h.job.Results)), zap.Error(why))
	next, err := h.submitter.Submit(ctx, h.job)
	if err != nil {
		h.submitter.daemon.scheduler.FreeResults(h.job.Results)
		return nil, err
	}
	h.next = next
	return next.Wait(ctx)
}

// existingResults returns the results of the pieces that have run.
func (h *jobHandle) existingResults() []stagework.PieceResult {
	if h.remote != nil {
		return h.remote.Results()
	}
	produced, _ := h.local.Results(0)
	return append(slices.Clone(h.job.Results), produced...)
}

func (h *jobHandle) releaseJob() {
	if h.remote != nil {
		h.remote.Release()
		return
	}
	h.local.Release()
}

// Release implements forward.SubmittedJob. This daemon frees the results of a job whose
// owner is dead.
func (h *jobHandle) Release() {
	if h.next != nil {
		h.next.Release()
		return
	}
	h.releaseJob()
	if h.ownerDead() {
		h.submitter.daemon.scheduler.FreeResults(h.existingResults())
	}
}
