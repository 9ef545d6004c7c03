package logservice

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"sequoiafork/internal/standin/unserved"
	"sequoiafork/internal/wire/platformapi"
)

const (
	defaultReadRecords = 256
	maxWait            = 30 * time.Second
)

// Handler serves a Log over the platform's HTTP API.
type Handler struct {
	unserved.Platform

	log *Log
}

var _ platformapi.Handler = (*Handler)(nil)

// NewHandler returns a Handler of log.
func NewHandler(log *Log) *Handler {
	return &Handler{
		log: log,
	}
}

// AppendRecord appends one record.
func (h *Handler) AppendRecord(_ context.Context, req *platformapi.AppendRequest, params platformapi.AppendRecordParams) (*platformapi.AppendResult, error) {
	if !h.log.limiter.Allow() {
		return nil, unserved.PlatformError(http.StatusTooManyRequests, "rate_limited", "too many appends a second")
	}
	r := h.log.stream(params.Stream).append(bytes.Clone(req.Data), h.retain())
	h.log.control.Ledger.CountAppend()
	return &platformapi.AppendResult{
		Offset: r.offset,
		TimeMs: r.timeMs,
	}, nil
}

// ReadRecords reads records starting at an offset. With wait_ms set, it waits up
// to that long, at most maxWait, for the first of them.
func (h *Handler) ReadRecords(ctx context.Context, params platformapi.ReadRecordsParams) (*platformapi.ReadResult, error) {
	if params.From < 1 {
		return nil, unserved.PlatformError(http.StatusBadRequest, "bad_request", "from: offsets start at 1")
	}
	s := h.log.stream(params.Stream)
	if wait := time.Duration(params.WaitMs.Or(0)) * time.Millisecond; wait > 0 {
		s.wait(ctx, params.From, min(wait, maxWait))
	}
	if h.log.control.Faults.Current().Down.Or(false) {
		return nil, unserved.PlatformError(http.StatusServiceUnavailable, "unavailable", "the stand-in is down")
	}
	limit := params.Max.Or(defaultReadRecords)
	if limit <= 0 {
		limit = defaultReadRecords
	}
	records, first, end := s.read(params.From, limit, h.retain())
	h.log.control.Ledger.CountRead()
	if params.From < first {
		err := unserved.PlatformError(http.StatusGone, "offset_expired", "the records are no longer kept")
		err.Response.FirstOffset = platformapi.NewOptInt64(first)
		return nil, err
	}
	return readResult(records, first, end), nil
}

func (h *Handler) retain() int64 {
	return h.log.control.Faults.Current().RetainRecords.Or(0)
}

func readResult(records []record, first, end int64) *platformapi.ReadResult {
	result := &platformapi.ReadResult{
		Records:     make([]platformapi.LogRecord, 0, len(records)),
		FirstOffset: first,
		EndOffset:   end,
	}
	for _, r := range records {
		result.Records = append(result.Records, platformapi.LogRecord{
			Offset: r.offset,
			TimeMs: r.timeMs,
			Data:   r.data,
		})
	}
	return result
}
