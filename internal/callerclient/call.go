package callerclient

import (
	"context"
	"errors"
	"time"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/wire/callerapi"
)

// Codes of outcomes that the client itself generates.
const (
	codeUnreachable     = "unreachable"
	codeResponseLost    = "lost_reply"
	codeStreamTruncated = "cut_stream"
)

// Request is one request to a route.
type Request struct {
	Route     string
	Workspace string
	Input     string
	// Key is an idempotency key: it makes the request run at most once, however often it
	// is sent.
	Key string
	// Deadline bounds the whole call, including resolving and retries. Zero selects the
	// deadline of the route.
	Deadline time.Duration
}

// Call sends a request and returns its complete answer. The error is an *OutcomeError
// whose outcome reports whether the request may have run, unless a daemon address can't
// be used: then it is a plain error. A request with a key is retried on the next address
// if its response is lost.
func (c *Client) Call(ctx context.Context, r Request) (*callerapi.Answer, error) {
	var answer *callerapi.Answer
	err := c.resolveAndSend(ctx, r, func(ctx context.Context, client *callerapi.Client, body *callerapi.Call) error {
		params := callerapi.CallRouteParams{
			Route: r.Route,
		}
		if r.Key != "" {
			params.IdempotencyKey = callerapi.NewOptString(r.Key)
		}
		var err error
		answer, err = client.CallRoute(ctx, body, params)
		return err
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// sendFunc makes one attempt at one address.
type sendFunc func(context.Context, *callerapi.Client, *callerapi.Call) error

func (c *Client) resolveAndSend(ctx context.Context, r Request, send sendFunc) error {
	if r.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Deadline)
		defer cancel()
	}
	addrs, err := c.requestAddrs(ctx)
	if err != nil {
		return err
	}
	return c.sendTo(ctx, addrs, r, send)
}

// sendTo tries the addresses in order. It keeps the first failure after which the
// request may have run and returns it in place of a later rejection: that a later
// daemon did not run the request does not mean that no daemon has.
func (c *Client) sendTo(ctx context.Context, addrs []string, r Request, send sendFunc) error {
	var mayHaveRun *OutcomeError
	lastFailure := newOutcomeError(callerapi.OutcomeOutcomeNotRun, codeUnreachable, errors.New("no address to send the request to"))
	for _, addr := range addrs {
		client, err := c.dial(addr)
		if err != nil {
			return err
		}
		body, err := newCall(ctx, r, c.config.Caller)
		if err != nil {
			lastFailure = newOutcomeError(callerapi.OutcomeOutcomeNotRun, string(outcome.CodeDeadlinePast), err)
			break
		}
		failure := toOutcomeError(send(ctx, client, body))
		if failure == nil {
			return nil
		}
		lastFailure = failure
		if failure.Outcome.Outcome == callerapi.OutcomeOutcomeUnknown && mayHaveRun == nil {
			mayHaveRun = failure
		}
		if !mayTryNext(failure, r.Key != "") {
			break
		}
	}
	if mayHaveRun != nil && lastFailure.Outcome.Outcome == callerapi.OutcomeOutcomeNotRun {
		return mayHaveRun
	}
	return lastFailure
}

func newCall(ctx context.Context, r Request, caller string) (*callerapi.Call, error) {
	call := &callerapi.Call{
		Workspace: r.Workspace,
		Input:     r.Input,
	}
	if caller != "" {
		call.Caller = callerapi.NewOptString(caller)
	}
	if r.Deadline == 0 {
		return call, nil
	}
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline).Milliseconds()
	if remaining <= 0 {
		return nil, errors.New("the deadline has passed")
	}
	call.DeadlineMs = callerapi.NewOptInt64(remaining)
	return call, nil
}

// toOutcomeError converts the error of one attempt to an outcome of the request.
func toOutcomeError(err error) *OutcomeError {
	if err == nil {
		return nil
	}
	var outcomeErr *OutcomeError
	var status *callerapi.OutcomeStatusCodeWithHeaders
	switch {
	case errors.As(err, &outcomeErr):
		return outcomeErr
	case errors.As(err, &status):
		return &OutcomeError{
			Outcome: status.Response,
		}
	case dialFailed(err):
		return newOutcomeError(callerapi.OutcomeOutcomeNotRun, codeUnreachable, err)
	default:
		return newOutcomeError(callerapi.OutcomeOutcomeUnknown, codeResponseLost, err)
	}
}

// mayTryNext reports whether the next address may be tried after an outcome.
func mayTryNext(e *OutcomeError, hasKey bool) bool {
	switch e.Outcome.Code {
	case codeUnreachable, string(outcome.CodeDraining), string(outcome.CodeNotReady):
		return e.Outcome.Outcome == callerapi.OutcomeOutcomeNotRun
	case codeResponseLost, string(outcome.CodeClaimUnsettled):
		return hasKey
	default:
		return false
	}
}
