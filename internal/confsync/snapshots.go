package confsync

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	snapshotCheckInterval = time.Second
	// urgentSnapshotDelay bounds the random delay of an urgent snapshot.
	urgentSnapshotDelay = time.Second
	// snapshotReadBackTimeout bounds how long a writer waits to read back its own
	// snapshot.
	snapshotReadBackTimeout = 10 * time.Second
)

// urgency is how soon a snapshot should be written.
type urgency int

const (
	notDue urgency = iota
	due
	// urgent means that the records after the last snapshot are soon to expire: they
	// reach back into the older half of the log.
	urgent
)

// writeSnapshots appends a snapshot when one is due and no other daemon has written
// it within a random delay.
func (r *Syncer) writeSnapshots(ctx context.Context) error {
	for {
		if err := sleep(ctx, snapshotCheckInterval); err != nil {
			return err
		}
		u := r.snapshotUrgency()
		if u == notDue {
			continue
		}
		if err := sleep(ctx, r.snapshotDelay(u)); err != nil {
			return err
		}
		if r.snapshotUrgency() == notDue {
			continue
		}
		if err := r.writeSnapshot(ctx); err != nil && ctx.Err() == nil {
			r.config.Logger.Warn("snapshot not written", zap.Error(err))
		}
	}
}

func (r *Syncer) snapshotDelay(u urgency) time.Duration {
	if u == urgent {
		return r.randomDuration(min(urgentSnapshotDelay, r.config.SnapshotDelay))
	}
	return r.randomDuration(r.config.SnapshotDelay)
}

func (r *Syncer) snapshotUrgency() urgency {
	s := r.Status()
	next := r.machine.NextOffset()
	if !r.machine.Ready() || !r.logHealthy() || next < s.End {
		return notDue
	}
	last := r.machine.LastSnapshot()
	if s.First > 1 && last.LastOffset+1 < s.First+(s.End-s.First)/2 {
		return urgent
	}
	tooMany := next-1-last.LastOffset >= uint64(r.config.SnapshotEveryRecords)
	tooOld := time.Since(time.UnixMilli(last.TimeMs)) >= r.config.SnapshotMaxAge
	if tooMany || tooOld {
		return due
	}
	return notDue
}

func (r *Syncer) writeSnapshot(ctx context.Context) error {
	data, err := r.machine.Snapshot(r.config.Writer)
	if err != nil {
		return err
	}
	offset, err := r.config.Log.Append(ctx, data)
	if err != nil {
		return err
	}
	r.config.Logger.Info("snapshot written", zap.Uint64("offset", offset), zap.Int("bytes", len(data)))
	ctx, cancel := context.WithTimeout(ctx, snapshotReadBackTimeout)
	defer cancel()
	return r.machine.Wait(ctx, offset+1)
}
