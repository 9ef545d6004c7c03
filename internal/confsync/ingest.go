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
func (r *Syncer) Deliver(records []*peerpb.LogRecord) {
	r.ingest(records)
}

func (r *Syncer) ingest(records []*peerpb.LogRecord) {
	applied, gap := r.applyInOrder(records)
	// Records that a daemon reads before it is ready are not new to its peers.
	if len(applied) > 0 && r.machine.Ready() && r.config.OnRecords != nil {
		r.config.OnRecords(applied)
	}
	if gap {
		select {
		case r.gap <- struct{}{}:
		default:
		}
	}
}

// applyInOrder applies the records that follow the state without a gap, and returns
// them. It reports whether records remain that wait for earlier ones.
func (r *Syncer) applyInOrder(records []*peerpb.LogRecord) (applied []*peerpb.LogRecord, gap bool) {
	r.ingestMu.Lock()
	defer r.ingestMu.Unlock()
	for _, rec := range records {
		if r.applyNext(rec) {
			applied = append(applied, rec)
		} else if rec.GetOffset() > r.machine.NextOffset() {
			r.addPending(rec)
		}
	}
	for {
		rec, ok := r.pending[r.machine.NextOffset()]
		if !ok || !r.applyNext(rec) {
			break
		}
		applied = append(applied, rec)
	}
	next := r.machine.NextOffset()
	maps.DeleteFunc(r.pending, func(offset uint64, _ *peerpb.LogRecord) bool { return offset < next })
	return applied, len(r.pending) > 0
}

func (r *Syncer) applyNext(rec *peerpb.LogRecord) bool {
	if rec.GetOffset() != r.machine.NextOffset() {
		return false
	}
	if err := r.machine.Apply(rec.GetOffset(), rec.GetTimeMs(), rec.GetData()); err != nil {
		r.config.Logger.Error("record not applied", zap.Error(err))
		return false
	}
	r.recent.add(rec)
	return true
}

// addPending holds a record that arrived early. Above MaxPending, the record with the
// highest offset is dropped.
func (r *Syncer) addPending(rec *peerpb.LogRecord) {
	r.pending[rec.GetOffset()] = rec
	if len(r.pending) > r.config.MaxPending {
		delete(r.pending, slices.Max(slices.Collect(maps.Keys(r.pending))))
	}
}

// restore replaces the state with a snapshot.
func (r *Syncer) restore(snapshot []byte) error {
	r.ingestMu.Lock()
	defer r.ingestMu.Unlock()
	return r.machine.Restore(snapshot)
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
