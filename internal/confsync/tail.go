package confsync

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/logservice"
)

const (
	maxBatchRecords = 500
	// readTimeoutMargin is added to a read's wait to get its timeout.
	readTimeoutMargin = time.Second
	minBackoff        = 100 * time.Millisecond
	// maxBackoff keeps a hung read plus the backoff after it below 5 s, the limit for
	// an accepted edit to be applied after a network partition has healed.
	maxBackoff = time.Second
)

func (r *Syncer) readTimeout() time.Duration {
	return r.config.PollWait + readTimeoutMargin
}

// tail follows the log until ctx ends.
func (r *Syncer) tail(ctx context.Context) error {
	if r.machine.NextOffset() == 1 {
		_ = r.catchUp(ctx)
	}
	backoff := minBackoff
	for {
		err := r.readOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			backoff = minBackoff
			continue
		}
		r.config.Logger.Warn("log read failed", zap.Error(err), zap.Uint64("next_offset", r.machine.NextOffset()))
		if err := sleep(ctx, backoff/2+r.randomDuration(backoff)); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// readOnce reads the log once and applies the records.
func (r *Syncer) readOnce(ctx context.Context) error {
	next := r.machine.NextOffset()
	batch, err := r.read(ctx, next, r.pollWait())
	if expired, ok := errors.AsType[*logservice.OffsetExpiredError](err); ok {
		return r.recoverExpired(ctx, next, expired.FirstOffset)
	}
	if err != nil {
		return err
	}
	r.ingest(toPeerRecords(batch.Records))
	if batch.EndOffset == 0 {
		return r.appendInitialSnapshot(ctx)
	}
	if r.machine.NextOffset() >= batch.EndOffset && !r.machine.Ready() {
		r.machine.MarkReady()
		r.config.Logger.Info("state is complete", zap.Uint64("next_offset", r.machine.NextOffset()), zap.Uint64("revision", r.machine.Revision()))
	}
	return nil
}

// pollWait returns how long a read waits for new records. Until the state is complete
// it doesn't wait, to learn where the log ends. After a failure it doesn't wait either,
// so that a slow log has the whole timeout to respond.
func (r *Syncer) pollWait() time.Duration {
	if !r.machine.Ready() || !r.logHealthy() {
		return 0
	}
	return r.config.PollWait
}

// read reads the log, and records in the status whether it responded.
func (r *Syncer) read(ctx context.Context, from uint64, wait time.Duration) (logservice.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, r.readTimeout())
	defer cancel()
	batch, err := r.config.Log.Read(ctx, from, maxBatchRecords, wait)
	if err == nil && batch.EndOffset != 0 && batch.EndOffset < from {
		err = &LogTruncatedError{
			Next: from,
			End:  batch.EndOffset,
		}
	}
	expired, answered := errors.AsType[*logservice.OffsetExpiredError](err)
	r.setStatus(func(s *Status) {
		switch {
		case answered:
			s.First, s.LastRead, s.LogError = expired.FirstOffset, time.Now(), nil
		case err != nil:
			s.LogError = err
		default:
			s.First, s.End, s.LastRead, s.LogError = batch.FirstOffset, batch.EndOffset, time.Now(), nil
		}
	})
	return batch, err
}

// appendInitialSnapshot appends a snapshot of the empty state to an empty log whose
// offsets start at zero, because the record at offset zero is never applied.
func (r *Syncer) appendInitialSnapshot(ctx context.Context) error {
	data, err := r.machine.Snapshot(r.config.Writer)
	if err != nil {
		return err
	}
	_, err = r.config.Log.Append(ctx, data)
	return err
}
