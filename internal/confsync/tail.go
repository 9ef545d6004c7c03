package confsync

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/logservice"
)

const (
	// maxBatchRecords is the maximum number of records of one read.
	maxBatchRecords = 500
	// readTimeoutMargin is added to a read's wait to get its timeout.
	readTimeoutMargin = time.Second
	minBackoff        = 100 * time.Millisecond
	// maxBackoff keeps a hung read plus the backoff after it below 5 s, the limit for
	// an accepted edit to be applied after a network partition has healed.
	maxBackoff = time.Second
)

func (s *Syncer) readTimeout() time.Duration {
	return s.config.PollWait + readTimeoutMargin
}

// tail follows the log until ctx ends.
func (s *Syncer) tail(ctx context.Context) error {
	if s.machine.NextOffset() == 1 {
		_ = s.catchUp(ctx)
	}
	backoff := minBackoff
	for {
		err := s.readOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			backoff = minBackoff
			continue
		}
		s.config.Logger.Warn("log read failed", zap.Error(err), zap.Uint64("next_offset", s.machine.NextOffset()))
		if err := sleep(ctx, backoff/2+s.randomDuration(backoff)); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// readOnce reads the log once and applies the records.
func (s *Syncer) readOnce(ctx context.Context) error {
	next := s.machine.NextOffset()
	batch, err := s.read(ctx, next, s.pollWait())
	if expired, ok := errors.AsType[*logservice.OffsetExpiredError](err); ok {
		return s.recoverExpired(ctx, next, expired.FirstOffset)
	}
	if err != nil {
		return err
	}
	s.ingest(toPeerRecords(batch.Records))
	if batch.EndOffset == 0 {
		return s.appendInitialSnapshot(ctx)
	}
	if s.machine.NextOffset() >= batch.EndOffset && !s.machine.Ready() {
		s.machine.MarkReady()
		s.config.Logger.Info("state is complete", zap.Uint64("next_offset", s.machine.NextOffset()), zap.Uint64("revision", s.machine.Revision()))
	}
	return nil
}

// pollWait returns how long a read waits for new records. Until the state is complete
// it doesn't wait, to learn where the log ends. After a failure it doesn't wait either,
// so that a slow log has the whole timeout to respond.
func (s *Syncer) pollWait() time.Duration {
	if !s.machine.Ready() || !s.logHealthy() {
		return 0
	}
	return s.config.PollWait
}

// read reads the log, and records in the status whether it responded.
func (s *Syncer) read(ctx context.Context, from uint64, wait time.Duration) (logservice.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, s.readTimeout())
	defer cancel()
	batch, err := s.config.Log.Read(ctx, from, maxBatchRecords, wait)
	if err == nil && batch.EndOffset != 0 && batch.EndOffset < from {
		err = &LogTruncatedError{
			NextOffset: from,
			EndOffset:  batch.EndOffset,
		}
	}
	expired, answered := errors.AsType[*logservice.OffsetExpiredError](err)
	s.setStatus(func(status *Status) {
		switch {
		case answered:
			status.FirstOffset, status.LastRead, status.LogError = expired.FirstOffset, time.Now(), nil
		case err != nil:
			status.LogError = err
		default:
			status.FirstOffset, status.EndOffset, status.LastRead, status.LogError = batch.FirstOffset, batch.EndOffset, time.Now(), nil
		}
	})
	return batch, err
}

// appendInitialSnapshot appends a snapshot of the empty state to an empty log whose
// offsets start at zero, because the record at offset zero is never applied.
func (s *Syncer) appendInitialSnapshot(ctx context.Context) error {
	data, err := s.machine.Snapshot(s.config.Writer)
	if err != nil {
		return err
	}
	_, err = s.config.Log.Append(ctx, data)
	return err
}
