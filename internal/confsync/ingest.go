package confsync

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"sequoiafork/internal/logservice"
	"sequoiafork/internal/wire/peerpb"
)

// Deliver applies records that a peer forwarded. Records that arrive before earlier
// ones are held until those have arrived.
func (s *Syncer) Deliver(records []*peerpb.LogRecord) {
	s.ingest(records)
}

func (s *Syncer) ingest(records []*peerpb.LogRecord) {
	applied, gap := s.applyInOrder(records)
	// Records that a daemon reads before it is ready are not new to its peers.
	if len(applied) > 0 && s.machine.Ready() && s.config.OnApplied != nil {
		s.config.OnApplied(applied)
	}
	if gap {
		select {
		case s.gap <- struct{}{}:
		default:
		}
	}
}

// applyInOrder applies the records that follow the state without a gap, and returns
// them. It reports whether records remain that wait for earlier ones.
func (s *Syncer) applyInOrder(records []*peerpb.LogRecord) (applied []*peerpb.LogRecord, gap bool) {
	s.ingestMu.Lock()
	defer s.ingestMu.Unlock()
	for _, rec := range records {
		if s.applyNext(rec) {
			applied = append(applied, rec)
		} else if rec.GetOffset() > s.machine.NextOffset() {
			s.addPending(rec)
		}
	}
	for {
		rec, ok := s.pending[s.machine.NextOffset()]
		if !ok || !s.applyNext(rec) {
			break
		}
		applied = append(applied, rec)
	}
	next := s.machine.NextOffset()
	maps.DeleteFunc(s.pending, func(offset uint64, _ *peerpb.LogRecord) bool { return offset < next })
	return applied, len(s.pending) > 0
}

func (s *Syncer) applyNext(rec *peerpb.LogRecord) bool {
	if rec.GetOffset() != s.machine.NextOffset() {
		return false
	}
	if err := s.machine.Apply(rec.GetOffset(), rec.GetTimeMs(), rec.GetData()); err != nil {
		s.config.Logger.Error("record not applied", zap.Error(err))
		return false
	}
	s.recent.add(rec)
	return true
}

// addPending holds a record that arrived early. Above MaxPending, the record with the
// highest offset is dropped.
func (s *Syncer) addPending(rec *peerpb.LogRecord) {
	s.pending[rec.GetOffset()] = rec
	if len(s.pending) > s.config.MaxPending {
		delete(s.pending, slices.Max(slices.Collect(maps.Keys(s.pending))))
	}
}

// restore replaces the state with a snapshot. The records before it are no longer kept for
// peers, because those that the snapshot contains are missing after them.
func (s *Syncer) restore(snapshot []byte) error {
	s.ingestMu.Lock()
	defer s.ingestMu.Unlock()
	if err := s.machine.Restore(snapshot); err != nil {
		return err
	}
	s.recent.reset()
	return nil
}

func toPeerRecords(records []logservice.Record) []*peerpb.LogRecord {
	out := make([]*peerpb.LogRecord, 0, len(records))
	for _, rec := range records {
		out = append(out, &peerpb.LogRecord{
			Offset: rec.Offset,
			TimeMs: rec.TimeMs,
			Data:   rec.Data,
		})
	}
	return out
}
