package e2e

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sequoiafork/internal/wire/callerapi"
)

// Outcomes of a call. All but connectionLost are those of the caller API.
const (
	answered       = "answered"
	notRun         = "not_run"
	failed         = "failed"
	unknown        = "unknown"
	connectionLost = "broken" // The connection ended without a complete response.
)

// call is one request to a daemon.
type call struct {
	daemon   int
	route    string
	input    string
	key      string
	deadline time.Duration // The route's when zero.
}

// callResult is a call and the outcome that the caller received.
type callResult struct {
	call

	sent, received time.Time
	outcome        string
	requestID      string
	output         string
	code           string
	message        string
	retryAfter     time.Duration
}

// String returns the result as one line of a trace.
func (r callResult) String() string {
	return fmt.Sprintf("%s daemon %d %s input %q key %q: %s %s %s %q %s", r.sent.Format("05.000"), r.daemon, r.route, r.input, r.key, r.outcome, r.requestID, r.code, r.output, r.message)
}

// history holds the results of all calls. It is safe for concurrent use.
type history struct {
	mu      sync.Mutex
	results []callResult
}

func (h *history) add(r callResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, r)
}

func (h *history) all() []callResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]callResult(nil), h.results...)
}

// do makes a call and adds its result to the history.
func (c *cluster) do(ctx context.Context, req call) callResult {
	r := callResult{
		call: req,
		sent: time.Now(),
	}
	params := callerapi.CallRouteParams{
		Route: req.route,
	}
	if req.key != "" {
		params.IdempotencyKey = callerapi.NewOptString(req.key)
	}
	response, err := c.daemons[req.daemon].callers.CallRoute(ctx, req.body(), params)
	r.received = time.Now()
	r.record(response, err)
	c.history.add(r)
	return r
}

func (req call) body() *callerapi.Call {
	body := &callerapi.Call{
		Workspace: workspace,
		Input:     req.input,
	}
	if req.deadline > 0 {
		body.DeadlineMs = callerapi.NewOptInt64(req.deadline.Milliseconds())
	}
	return body
}

func (r *callResult) record(response *callerapi.Answer, err error) {
	if err == nil {
		r.outcome = answered
		r.requestID = response.RequestID
		r.output = response.Output
		return
	}
	var status *callerapi.OutcomeStatusCodeWithHeaders
	if !errors.As(err, &status) {
		r.outcome = connectionLost
		r.message = err.Error()
		return
	}
	r.recordOutcome(status.Response)
}

func (r *callResult) recordOutcome(o callerapi.Outcome) {
	r.outcome = string(o.Outcome)
	r.requestID = o.RequestID.Or("")
	r.code = o.Code
	r.message = o.Message
	r.retryAfter = time.Duration(o.RetryAfterMs.Or(0)) * time.Millisecond
}

// doAll makes the calls concurrently and returns their results in the same order.
func (c *cluster) doAll(ctx context.Context, calls ...call) []callResult {
	results := make([]callResult, len(calls))
	var wg sync.WaitGroup
	for i, req := range calls {
		wg.Go(func() {
			results[i] = c.do(ctx, req)
		})
	}
	wg.Wait()
	return results
}

// callsToAll returns a copy of req for each daemon.
func (c *cluster) callsToAll(req call) []call {
	calls := make([]call, len(c.daemons))
	for i := range calls {
		calls[i] = req
		calls[i].daemon = i
	}
	return calls
}

// startCall makes a call in the background and returns a channel for its result.
func (c *cluster) startCall(ctx context.Context, req call) <-chan callResult {
	ch := make(chan callResult, 1)
	go func() { ch <- c.do(ctx, req) }()
	return ch
}
