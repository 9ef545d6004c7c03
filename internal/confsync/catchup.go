package confsync

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/wire/peerpb"
)

// maxCatchUpRecords bounds the records of one response to a peer.
const maxCatchUpRecords = 1000

// CatchUp returns to a peer the records from an offset on, or a snapshot if they are no
// longer in memory. It returns a *NotReadyError until the state is complete.
func (r *Syncer) CatchUp(_ context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	if !r.machine.Ready() {
		return nil, &NotReadyError{}
	}
	r.ingestMu.Lock()
	defer r.ingestMu.Unlock()
	next := r.machine.NextOffset()
	resp := &peerpb.CatchUpResponse{
		NextOffset: next,
	}
	if from >= next {
		return resp, nil
	}
	if records, ok := r.recent.from(from); ok {
		resp.Records = records[:min(len(records), maxCatchUpRecords)]
		return resp, nil
	}
	snapshot, err := r.machine.Snapshot(r.config.Writer)
	if err != nil {
		return nil, err
	}
	resp.Snapshot = snapshot
	return resp, nil
}

// syncWithPeers fetches records from peers while the log can't be read, and when the
// records received from peers have a gap.
func (r *Syncer) syncWithPeers(ctx context.Context) error {
	if r.config.Peers == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(r.config.PeerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.gap:
			// The log usually has the missing records by now.
			if err := sleep(ctx, r.randomDuration(r.config.PeerInterval)); err != nil {
				return err
			}
			if r.Status().Pending == 0 {
				continue
			}
		case <-ticker.C:
			if r.logHealthy() {
				continue
			}
		}
		if err := r.catchUp(ctx); err != nil && ctx.Err() == nil {
			r.config.Logger.Warn("catch-up from a peer failed", zap.Error(err))
		}
	}
}

// catchUp fetches records or snapshots from peers until it has all that the peer has.
func (r *Syncer) catchUp(ctx context.Context) error {
	if r.config.Peers == nil {
		return errors.New("catch up: no peers")
	}
	for {
		next := r.machine.NextOffset()
		resp, err := r.requestFromPeer(ctx, next)
		if err != nil {
			return err
		}
		if err := r.applyResponse(resp); err != nil {
			return err
		}
		r.setStatus(func(s *Status) { s.LastPeerSync = time.Now() })
		now := r.machine.NextOffset()
		if now >= resp.GetNextOffset() {
			r.markReadyFromPeer()
			return nil
		}
		if now == next {
			return errors.New("catch up: the peer's response did not advance the state")
		}
	}
}

func (r *Syncer) requestFromPeer(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, r.readTimeout())
	defer cancel()
	return r.config.Peers.CatchUp(ctx, from)
}

func (r *Syncer) applyResponse(resp *peerpb.CatchUpResponse) error {
	if len(resp.GetSnapshot()) > 0 {
		err := r.restore(resp.GetSnapshot())
		if _, stale := errors.AsType[*fold.StaleError](err); err != nil && !stale {
			return err
		}
	}
	r.ingest(resp.GetRecords())
	return nil
}

// markReadyFromPeer marks the state as complete after a catch-up from a peer if the log
// can't be read, because no newer state is available.
func (r *Syncer) markReadyFromPeer() {
	s := r.Status()
	if s.LogError == nil || r.machine.Ready() {
		return
	}
	r.machine.MarkReady()
	r.config.Logger.Warn("state is complete from a peer, the log cannot be read", zap.Uint64("next_offset", r.machine.NextOffset()), zap.Error(s.LogError))
}
