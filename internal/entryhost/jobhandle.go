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
func (t *jobHandle) Wait(ctx context.Context) ([]string, error) {
	done := make(chan waitResult, 1)
	go func() {
		r := waitResult{}
		if t.remote != nil {
			r.handles, r.err = t.remote.Wait()
		} else {
			r.handles, r.err = t.local.Wait(ctx)
		}
		done <- r
	}()
	watch := time.NewTicker(ownerCheckInterval)
	defer watch.Stop()
	for {
		select {
		case r := <-done:
			var lost *peer.CallError
			var moved *stagework.OwnerChangedError
			if (errors.As(r.err, &lost) || errors.As(r.err, &moved)) && ctx.Err() == nil {
				return t.resubmit(ctx, r.err)
			}
			return r.handles, r.err
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-watch.C:
			if t.ownerDead() {
				return t.resubmit(ctx, errOwnerDead)
			}
		}
	}
}

var errOwnerDead = errors.New("the owner of the stage upstreams is dead")

// ownerDead reports whether the remote owner of the job is dead or no longer a member.
func (t *jobHandle) ownerDead() bool {
	if t.remote == nil {
		return false
	}
	if knownByAddress(t.owner) {
		return false // Membership does not know it; the call itself fails if it dies.
	}
	m, ok := t.submitter.daemon.members.Lookup(t.owner.Incarnation)
	return !ok || m.State == membership.Dead
}

// resubmit submits the job to the next owner with its existing results, and waits for it. An
// owner that did not hand the job off is avoided for a while.
func (t *jobHandle) resubmit(ctx context.Context, why error) ([]string, error) {
	t.job.Results = t.existingResults()
	var moved *stagework.OwnerChangedError
	if !errors.As(why, &moved) {
		t.submitter.avoidOwner(t.owner)
	}
	t.releaseJob()
	t.submitter.daemon.logger.Info("resubmitting job to the next stage owner",
		zap.String("request_id", t.job.RequestID), zap.String("stage_owner", t.owner.Incarnation),
		zap.Int("results", len(t.job.Results)), zap.Error(why))
	next, err := t.submitter.Submit(ctx, t.job)
	if err != nil {
		t.submitter.daemon.scheduler.FreeResults(t.job.Results)
		return nil, err
	}
	t.next = next
	return next.Wait(ctx)
}

// existingResults returns the results of the pieces that have run.
func (t *jobHandle) existingResults() []stagework.PieceResult {
	if t.remote != nil {
		return t.remote.Results()
	}
	produced, _ := t.local.Results(0)
	return append(slices.Clone(t.job.Results), produced...)
}

func (t *jobHandle) releaseJob() {
	if t.remote != nil {
		t.remote.Release()
		return
	}
	t.local.Release()
}

// Release implements forward.SubmittedJob. This daemon frees the results of a job whose
// owner is dead.
func (t *jobHandle) Release() {
	if t.next != nil {
		t.next.Release()
		return
	}
	t.releaseJob()
	if t.ownerDead() {
		t.submitter.daemon.scheduler.FreeResults(t.existingResults())
	}
}
