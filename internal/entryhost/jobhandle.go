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

// ownerWatch is how often a daemon looks whether the owner of its jobs lives.
const ownerCheckInterval = 100 * time.Millisecond

// ticket is a job at the owner or at this daemon's own scheduler. If the owner ends or
// gives it up to another, it goes to the next with the results that it has.
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

// Wait implements forward.Ticket.
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

func (t *jobHandle) ownerDead() bool {
	if t.remote == nil {
		return false
	}
	if knownByAddress(t.owner) {
		return false // The call itself tells its end.
	}
	m, ok := t.submitter.host.members.Lookup(t.owner.Incarnation)
	return !ok || m.State == membership.Dead
}

// again gives the job to the next owner.
func (t *jobHandle) resubmit(ctx context.Context, why error) ([]string, error) {
	t.job.Results = t.existingResults()
	var moved *stagework.OwnerChangedError
	if !errors.As(why, &moved) {
		t.submitter.avoidOwner(t.owner)
	}
	t.releaseJob()
	t.submitter.host.logger.Info("job goes to the next stage owner",
		zap.String("request_id", t.job.RequestID), zap.String("stage_owner", t.owner.Incarnation),
		zap.Int("results", len(t.job.Results)), zap.Error(why))
	next, err := t.submitter.Submit(ctx, t.job)
	if err != nil {
		t.submitter.host.scheduler.FreeResults(t.job.Results)
		return nil, err
	}
	t.next = next
	return next.Wait(ctx)
}

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

// Release implements forward.Ticket. The results of a job whose owner has ended are
// freed by this daemon.
func (t *jobHandle) Release() {
	if t.next != nil {
		t.next.Release()
		return
	}
	t.releaseJob()
	if t.ownerDead() {
		t.submitter.host.scheduler.FreeResults(t.existingResults())
	}
}
