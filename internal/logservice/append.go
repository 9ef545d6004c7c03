package logservice

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiafork/internal/wire/platformapi"
)

// retryAfter is the delay that every RejectedError suggests, whatever its code.
const retryAfter = time.Second

// Append appends a record other than an operator's edit, within the rate limit. It
// returns a *RejectedError if the record was certainly not appended and an
// *UnknownOutcomeError if it may have been.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	if err := c.WaitRateLimit(ctx); err != nil {
		return 0, err
	}
	return c.AppendWithoutWait(ctx, data)
}

// WaitRateLimit waits until the rate limit allows one append, for a caller that builds
// its record only then. It returns a *RejectedError if ctx would end before that.
func (c *Client) WaitRateLimit(ctx context.Context) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return c.rejection(CodeOverBudget, err.Error())
	}
	return nil
}

// AppendWithoutWait appends a record after WaitRateLimit has returned nil. Its errors
// are those of Append.
func (c *Client) AppendWithoutWait(ctx context.Context, data []byte) (uint64, error) {
	return c.append(ctx, data, c.counters.system)
}

// AppendEdit appends an operator's edit. It is counted, but is not subject to the rate
// limit. Its errors are those of Append.
func (c *Client) AppendEdit(ctx context.Context, data []byte) (uint64, error) {
	return c.append(ctx, data, c.counters.operator)
}

func (c *Client) append(ctx context.Context, data []byte, appends *metrics.Counter) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, c.rejection(CodeCancelled, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	appends.Inc()
	res, err := c.api.AppendRecord(ctx, &platformapi.AppendRequest{
		Data: data,
	}, platformapi.AppendRecordParams{
		Stream: c.stream,
	})
	if err == nil {
		return uint64(res.Offset), nil
	}
	if !connected.Load() {
		return 0, c.rejection(CodeUnreachable, err.Error())
	}
	if apiErr, ok := errors.AsType[*platformapi.ErrorStatusCode](err); ok && hadNoEffect(apiErr.Response.Code) {
		return 0, c.rejection(apiErr.Response.Code, apiErr.Response.Message)
	}
	c.counters.unknown.Inc()
	return 0, &UnknownOutcomeError{
		Err: err,
	}
}

func (c *Client) rejection(code, message string) error {
	c.counters.refused.Inc()
	return &RejectedError{
		Code:       code,
		Message:    message,
		RetryAfter: retryAfter,
	}
}

// hadNoEffect reports whether the service guarantees that a call with this error code
// appended nothing.
func hadNoEffect(code string) bool {
	switch code {
	case "unavailable", "rate_limited", "bad_request", "not_found":
		return true
	}
	return false
}
