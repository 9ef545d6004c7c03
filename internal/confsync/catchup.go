package confsync

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/wire/peerpb"
)

// maxCatchUpRecords bounds one answer to a peer.
const maxCatchUpRecords = 1000

// CatchUp answers a peer that needs the records from an offset on. It returns a
// *NotReadyError until the state is complete.
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

// syncWithPeers asks peers for records while the log can't be read, and when records
// from peers have a gap.
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
			r.config.Logger.Warn("peer did not help to catch up", zap.Error(err))
		}
	}
}

// catchUp takes records, or a snapshot, from a peer until it has no more.
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
			return errors.New("catch up: the peer's records do not follow")
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

// markReadyFromPeer makes the state complete when a peer gave it and the log can't
// be read: it is the newest that can be had.
func (r *Syncer) markReadyFromPeer() {
	s := r.Status()
	if s.LogError == nil || r.machine.Ready() {
		return
	}
	r.machine.MarkReady()
	r.config.Logger.Warn("state is complete as a peer has it, the log can not be read", zap.Uint64("next_offset", r.machine.NextOffset()), zap.Error(s.LogError))
}
