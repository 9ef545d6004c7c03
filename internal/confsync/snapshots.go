package confsync

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	snapshotCheckInterval = time.Second
	// maxUrgentSnapshotDelay bounds the random delay of an urgent snapshot.
	maxUrgentSnapshotDelay = time.Second
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
func (s *Syncer) writeSnapshots(ctx context.Context) error {
	for {
		if err := sleep(ctx, snapshotCheckInterval); err != nil {
			return err
		}
		u := s.snapshotUrgency()
		if u == notDue {
			continue
		}
		if err := sleep(ctx, s.snapshotDelay(u)); err != nil {
			return err
		}
		if s.snapshotUrgency() == notDue {
			continue
		}
		if err := s.writeSnapshot(ctx); err != nil && ctx.Err() == nil {
			s.config.Logger.Warn("snapshot not written", zap.Error(err))
		}
	}
}

func (s *Syncer) snapshotDelay(u urgency) time.Duration {
	if u == urgent {
		return s.randomDuration(min(maxUrgentSnapshotDelay, s.config.SnapshotDelay))
	}
	return s.randomDuration(s.config.SnapshotDelay)
}

func (s *Syncer) snapshotUrgency() urgency {
	status := s.Status()
	next := s.machine.NextOffset()
	if !s.machine.Ready() || !s.logHealthy() || next < status.EndOffset {
		return notDue
	}
	last := s.machine.LastSnapshot()
	if status.FirstOffset > 1 && last.LastOffset+1 < status.FirstOffset+(status.EndOffset-status.FirstOffset)/2 {
		return urgent
	}
	tooMany := next-1-last.LastOffset >= uint64(s.config.SnapshotEveryRecords)
	tooOld := time.Since(time.UnixMilli(last.TimeMs)) >= s.config.SnapshotMaxAge
	if tooMany || tooOld {
		return due
	}
	return notDue
}

func (s *Syncer) writeSnapshot(ctx context.Context) error {
	data, err := s.machine.Snapshot(s.config.Writer)
	if err != nil {
		return err
	}
	offset, err := s.config.Log.Append(ctx, data)
	if err != nil {
		return err
	}
	s.config.Logger.Info("snapshot written", zap.Uint64("offset", offset), zap.Int("bytes", len(data)))
	ctx, cancel := context.WithTimeout(ctx, snapshotReadBackTimeout)
	defer cancel()
	return s.machine.Wait(ctx, offset+1)
}
