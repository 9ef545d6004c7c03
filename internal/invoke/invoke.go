// Package invoke calls encoders, retrievers, rerankers and plain services through the
// interface defined in api/upstream.yaml.
package invoke

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"sequoiafork/internal/bytequota"
	"sequoiafork/internal/http1"
	"sequoiafork/internal/httplimit"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
	"sequoiafork/internal/wire/upstreamapi"
)

// Defaults of Config.
const (
	DefaultDialTimeout         = 500 * time.Millisecond
	DefaultMaxIdleConnsPerHost = 256
	DefaultMaxResponseBytes    = 16 << 20
)

// idleTimeout is how long an idle keep-alive connection stays open.
const idleTimeout = 90 * time.Second

// Config configures a Client. Zero fields mean the defaults.
type Config struct {
	DialTimeout         time.Duration
	MaxIdleConnsPerHost int
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes int64
	// Memory is shared by the responses that are read at the same time. Nil means a quota
	// of the client's own.
	Memory *bytequota.Quota
}

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	idempotent    *upstreamapi.Client
	nonIdempotent *upstreamapi.Client
}

// New returns a Client.
func New(cfg Config) (*Client, error) {
	if cfg.Memory == nil {
		cfg.Memory = bytequota.New(bytequota.Config{})
	}
	idempotent, err := newAPI(cfg, false)
	if err != nil {
		return nil, err
	}
	nonIdempotent, err := newAPI(cfg, true)
	if err != nil {
		return nil, err
	}
	return &Client{
		idempotent:    idempotent,
		nonIdempotent: nonIdempotent,
	}, nil
}

// newAPI returns a generated client. With disableKeepAlives each call has a connection
// of its own. Non-idempotent calls need that because the upstream may just have closed a
// reused connection, and such a call can't be retried.
func newAPI(cfg Config, disableKeepAlives bool) (*upstreamapi.Client, error) {
	api, err := upstreamapi.NewClient("http://invalid", upstreamapi.WithClient(&http.Client{
		Transport: NewTransport(cfg, disableKeepAlives),
	}))
	if err != nil {
		return nil, fmt.Errorf("create upstream client: %w", err)
	}
	return api, nil
}

// NewTransport returns a transport that uses no proxy and, with disableKeepAlives, never
// reuses a connection. A response that is too long is a *httplimit.TooLongError.
func NewTransport(cfg Config, disableKeepAlives bool) http.RoundTripper {
	cfg.DialTimeout = cmp.Or(cfg.DialTimeout, DefaultDialTimeout)
	cfg.MaxIdleConnsPerHost = cmp.Or(cfg.MaxIdleConnsPerHost, DefaultMaxIdleConnsPerHost)
	cfg.MaxResponseBytes = cmp.Or(cfg.MaxResponseBytes, DefaultMaxResponseBytes)
	if cfg.Memory == nil {
		cfg.Memory = bytequota.New(bytequota.Config{})
	}
	dialer := &net.Dialer{
		Timeout: cfg.DialTimeout,
	}
	return httplimit.New(httplimit.Config{
		Base: http1.New(http1.Config{
			Base: &http.Transport{
				DialContext:            dialer.DialContext,
				DisableCompression:     true,
				DisableKeepAlives:      disableKeepAlives,
				MaxIdleConnsPerHost:    cfg.MaxIdleConnsPerHost,
				IdleConnTimeout:        idleTimeout,
				MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
			},
		}),
		MaxBodyBytes: cfg.MaxResponseBytes,
		Memory:       cfg.Memory,
	})
}

// Invoke runs one attempt. It returns the response only if it has the ID of this attempt
// and its output has the stated length.
func (c *Client) Invoke(ctx context.Context, call pipeline.Call) (pipeline.Reply, error) {
	api := c.idempotent
	if call.Stage.NonIdempotent {
		api = c.nonIdempotent
	}
	ctx, sent := TrackSent(ctx)
	res, err := api.Invoke(ctx, newInvocation(call), upstreamapi.WithServerURL(BaseURL(call.Addr)))
	if err != nil {
		return pipeline.Reply{}, Classify(call.Addr, err, sent.Load())
	}
	if err := checkResult(call, res); err != nil {
		return pipeline.Reply{}, &pipeline.CallError{
			Addr:      call.Addr,
			Execution: pipeline.MayHaveRun,
			Err:       err,
		}
	}
	return pipeline.Reply{
		Output: res.Output,
		Load:   ConvertLoad(res.Load),
	}, nil
}

// Load returns the load that the upstream at addr reports. No work runs for it.
func (c *Client) Load(ctx context.Context, addr string) (*upstream.Load, error) {
	l, err := c.idempotent.ShowLoad(ctx, upstreamapi.WithServerURL(BaseURL(addr)))
	if err != nil {
		return nil, fmt.Errorf("load of %s: %w", addr, err)
	}
	return ConvertLoad(*l), nil
}

func newInvocation(call pipeline.Call) *upstreamapi.Invocation {
	return &upstreamapi.Invocation{
		AttemptID:   call.AttemptID,
		RequestID:   call.RequestID,
		Workspace:   upstreamapi.NewOptString(call.Workspace),
		Stage:       call.Stage.Name,
		Input:       call.Input,
		Repeatable:  upstreamapi.NewOptBool(!call.Stage.NonIdempotent),
		RemainingMs: upstreamapi.NewOptInt64(call.Remaining.Milliseconds()),
	}
}

// MismatchError reports a response that belongs to another attempt or is incomplete.
type MismatchError struct {
	Field     string
	Got, Want string
}

// Error returns the field with its actual and its expected value.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("response has %s %q, want %q", e.Field, e.Got, e.Want)
}

func checkResult(call pipeline.Call, res *upstreamapi.InvocationResult) error {
	if res.AttemptID != call.AttemptID {
		return &MismatchError{
			Field: "attempt_id",
			Got:   res.AttemptID,
			Want:  call.AttemptID,
		}
	}
	if res.OutputBytes != len(res.Output) {
		return &MismatchError{
			Field: "output_bytes",
			Got:   fmt.Sprint(res.OutputBytes),
			Want:  fmt.Sprint(len(res.Output)),
		}
	}
	return nil
}

// BaseURL returns the URL of the upstream at addr.
func BaseURL(addr string) *url.URL {
	return &url.URL{
		Scheme: "http",
		Host:   addr,
	}
}

// TrackSent returns a context for one call, and a flag that is set once the call has a
// connection, that is before any of its bytes can leave this process.
func TrackSent(ctx context.Context) (context.Context, *atomic.Bool) {
	var sent atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), &sent
}

// ConvertLoad converts a load report from its wire type.
func ConvertLoad(l upstreamapi.Load) *upstream.Load {
	return &upstream.Load{
		InFlight: l.InFlight,
		Queued:   l.Queued,
		Capacity: l.Capacity,
		Age:      time.Duration(l.AgeMs) * time.Millisecond,
		Leaving:  l.Leaving.Or(false),
	}
}

// Classify converts an error of a generated client to a *pipeline.CallError. sent is the
// flag of TrackSent.
func Classify(addr string, err error, sent bool) *pipeline.CallError {
	e := &pipeline.CallError{
		Addr:      addr,
		Execution: pipeline.MayHaveRun,
		Err:       err,
	}
	var timeout interface{ Timeout() bool }
	e.TimedOut = errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
	var status *upstreamapi.ErrorStatusCode
	switch {
	case errors.As(err, &status):
		e.Execution = executionStatus(status.Response)
	case !sent:
		e.Execution = pipeline.NotSent
	}
	return e
}

func executionStatus(e upstreamapi.Error) pipeline.ExecutionStatus {
	switch {
	case e.Ran.Or(false) || e.Code == "failed":
		return pipeline.RanAndFailed
	case e.Code == "leaving":
		return pipeline.RefusedLeaving
	}
	return pipeline.Refused
}
