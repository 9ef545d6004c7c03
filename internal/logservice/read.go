package logservice

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sequoiafork/internal/wire/platformapi"
)

// Record is one record of the log.
type Record struct {
	Offset uint64
	TimeMs int64
	Data   []byte
}

// Batch is the result of one read.
type Batch struct {
	Records []Record
	// FirstOffset is the oldest offset that the log retains.
	FirstOffset uint64
	// EndOffset is the offset that the next append gets.
	EndOffset uint64
}

// Read returns at most maxRecords records from an offset on (zero means
// DefaultMaxRecords). If there is none, it waits for one. It returns an
// *OffsetExpiredError if the log no longer retains the offset.
func (c *Client) Read(ctx context.Context, from uint64, maxRecords int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	if maxRecords == 0 {
		maxRecords = DefaultMaxRecords
	}
	c.counters.reads.Inc()
	res, err := c.api.ReadRecords(ctx, platformapi.ReadRecordsParams{
		Stream: c.stream,
		From:   int64(from),
		Max:    platformapi.NewOptInt(maxRecords),
		WaitMs: platformapi.NewOptInt64(wait.Milliseconds()),
	})
	if err != nil {
		return Batch{}, readError(from, err)
	}
	batch := Batch{
		Records:     make([]Record, 0, len(res.Records)),
		FirstOffset: uint64(res.FirstOffset),
		EndOffset:   uint64(res.EndOffset),
	}
	for _, r := range res.Records {
		batch.Records = append(batch.Records, Record{
			Offset: uint64(r.Offset),
			TimeMs: r.TimeMs,
			Data:   r.Data,
		})
	}
	return batch, nil
}

func readError(from uint64, err error) error {
	if apiErr, ok := errors.AsType[*platformapi.ErrorStatusCode](err); ok && apiErr.Response.Code == "offset_expired" {
		return &OffsetExpiredError{
			FirstOffset: uint64(apiErr.Response.FirstOffset.Or(0)),
		}
	}
	return fmt.Errorf("read log from offset %d: %w", from, err)
}
