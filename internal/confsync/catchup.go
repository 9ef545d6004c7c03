package confsync

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/wire/peerpb"
)

// maxCatchUpRecords is the maximum number of records in one response to a peer.
const maxCatchUpRecords = 1000

// CatchUp returns to a peer the records from an offset on, or a snapshot if they are no
// longer in memory. It returns a *NotReadyError until the state is complete.
func (s *Syncer) CatchUp(_ context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	if !s.machine.Ready() {
		return nil, &NotReadyError{}
	}
	s.ingestMu.Lock()
	defer s.ingestMu.Unlock()
	next := s.machine.NextOffset()
	resp := &peerpb.CatchUpResponse{
		NextOffset: next,
	}
	if from >= next {
		return resp, nil
	}
	if records, ok := s.recent.from(from); ok {
		resp.Records = records[:min(len(records), maxCatchUpRecords)]
		return resp, nil
	}
	snapshot, err := s.machine.Snapshot(s.config.Writer)
	if err != nil {
		return nil, err
	}
	resp.Snapshot = snapshot
	return resp, nil
}

// syncWithPeers fetches records from peers while the log can't be read, and when the
// records received from peers have a gap.
func (s *Syncer) syncWithPeers(ctx context.Context) error {
	if s.config.Peers == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(s.config.PeerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.gap:
			// The log usually has the missing records by now.
			if err := sleep(ctx, s.randomDuration(s.config.PeerInterval)); err != nil {
				return err
			}
			if s.Status().Pending == 0 {
				continue
			}
		case <-ticker.C:
			if s.logHealthy() {
				continue
			}
		}
		if err := s.catchUp(ctx); err != nil && ctx.Err() == nil {
			s.config.Logger.Warn("catch-up from a peer failed", zap.Error(err))
		}
	}
}

// catchUp fetches records or snapshots from peers until it has all that the peer has.
func (s *Syncer) catchUp(ctx context.Context) error {
	if s.config.Peers == nil {
		return errors.New("catch up: no peers")
	}
	for {
		next := s.machine.NextOffset()
		resp, err := s.requestFromPeer(ctx, next)
		if err != nil {
			return err
		}
		if err := s.applyResponse(resp); err != nil {
			return err
		}
		s.setStatus(func(status *Status) { status.LastPeerSync = time.Now() })
		now := s.machine.NextOffset()
		if now >= resp.GetNextOffset() {
			s.markReadyFromPeer()
			return nil
		}
		if now == next {
			return errors.New("catch up: the peer's response did not advance the state")
		}
	}
}

func (s *Syncer) requestFromPeer(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.readTimeout())
	defer cancel()
	return s.config.Peers.CatchUp(ctx, from)
}

func (s *Syncer) applyResponse(resp *peerpb.CatchUpResponse) error {
	if len(resp.GetSnapshot()) > 0 {
		err := s.restore(resp.GetSnapshot())
		if _, stale := errors.AsType[*fold.SnapshotTooOldError](err); err != nil && !stale {
			return err
		}
	}
	s.ingest(resp.GetRecords())
	return nil
}

// markReadyFromPeer marks the state as complete after a catch-up from a peer if the log
// can't be read, because no newer state is available.
func (s *Syncer) markReadyFromPeer() {
	status := s.Status()
	if status.LogError == nil || s.machine.Ready() {
		return
	}
	s.machine.MarkReady()
	s.config.Logger.Warn("state is complete after catch-up from a peer, the log cannot be read", zap.Uint64("next_offset", s.machine.NextOffset()), zap.Error(status.LogError))
}
