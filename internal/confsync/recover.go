package confsync

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/logservice"
)

// recoverExpired restores a newer state after the records from next on have expired:
// from a peer, or else from the newest usable snapshot in the log.
func (s *Syncer) recoverExpired(ctx context.Context, next, first uint64) error {
	s.config.Logger.Warn("records have expired before they were read", zap.Uint64("next_offset", next), zap.Uint64("first_offset", first))
	if err := s.catchUp(ctx); err == nil && s.machine.NextOffset() >= first {
		return nil
	}
	snapshot, err := s.findSnapshot(ctx, first)
	if err != nil {
		return err
	}
	if snapshot == nil {
		return &NoSnapshotError{
			NextOffset:  next,
			FirstOffset: first,
		}
	}
	return s.restore(snapshot)
}

// findSnapshot scans the log and returns the newest snapshot that is intact and whose
// following records are all retained, or nil.
func (s *Syncer) findSnapshot(ctx context.Context, first uint64) ([]byte, error) {
	var newest []byte
	var newestCovered uint64
	for from := first; ; {
		batch, err := s.read(ctx, from, 0)
		if expired, ok := errors.AsType[*logservice.OffsetExpiredError](err); ok && expired.FirstOffset > from {
			from, first = expired.FirstOffset, expired.FirstOffset
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, rec := range batch.Records {
			if covered, ok := s.usableSnapshot(rec, first); ok && covered >= newestCovered {
				newest, newestCovered = rec.Data, covered
			}
			from = rec.Offset + 1
		}
		if from >= batch.EndOffset || len(batch.Records) == 0 {
			return newest, nil
		}
	}
}

// usableSnapshot reports whether a record is an intact snapshot whose following records
// are all retained.
func (s *Syncer) usableSnapshot(rec logservice.Record, first uint64) (covered uint64, ok bool) {
	covered, err := fold.SnapshotOffset(rec.Data)
	if _, corrupted := errors.AsType[*fold.DigestMismatchError](err); corrupted {
		s.config.Logger.Error("corrupted snapshot in the log", zap.Uint64("offset", rec.Offset), zap.Error(err))
	}
	return covered, err == nil && covered+1 >= first && covered < rec.Offset
}
