package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
)

const (
	// hedgePart is the part of the objective after which an idempotent request is
	// offered to a second upstream as well.
	hedgePart = 0.5
)

// errNotGenuine reports an answer without the upstream's mark for the request.
var errNotGenuine = errors.New("the answer is not the upstream's answer to this request")

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attemptResult is the end of one attempt.
type attemptResult struct {
	answer  wholeAnswer
	failure *pipeline.CallError
	// failed says that the answer is the upstream's own failure.
	failed bool
	err    error
}

// whole serves a request whose answer is no stream.
func (x *run) whole(ctx context.Context) outcome.Outcome {
	results := make(chan attemptResult, x.route.MaxAttempts+2*maxRefusals+1)
	pending := 0
	start := func() error {
		choice, err := x.pick()
		if err != nil {
			return err
		}
		pending++
		c := x.call(choice)
		go func() { results <- x.attempt(ctx, choice, c) }()
		return nil
	}
	if err := start(); err != nil {
		return x.explain(ctx, err)
	}
	hedge := time.NewTimer(x.hedgeDelay())
	defer hedge.Stop()
	var last attemptResult
	for pending > 0 {
		select {
		case <-hedge.C:
			if x.mayHedge(pending) {
				_ = start() // With no second upstream the first goes on alone.
			}
			continue
		case r := <-results:
			pending--
			if r.failure == nil && !r.failed {
				x.answer.WriteResponse(r.answer.status, r.answer.header, r.answer.body)
				return x.answered()
			}
			last = x.better(last, r)
			if !x.mayRetry(ctx, r.failure, pending) {
				continue
			}
			if err := start(); err != nil && pending == 0 && !last.failed {
				return x.explain(ctx, err)
			}
		}
	}
	if last.failed {
		x.answer.WriteResponse(last.answer.status, last.answer.header, last.answer.body)
		return x.answered()
	}
	return x.explain(ctx, last.err)
}

// better returns which of two failed attempts says more to the caller.
func (x *run) better(a, b attemptResult) attemptResult {
	if a.failed && !b.failed {
		return a
	}
	return b
}

func (x *run) answered() outcome.Outcome {
	return outcome.Answered{
		RequestID: x.req.ID,
	}
}

func (x *run) hedgeDelay() time.Duration {
	return time.Duration(hedgePart * float64(x.route.LatencyObjective))
}

// mayHedge reports whether a second upstream may be asked beside the first.
func (x *run) mayHedge(pending int) bool {
	if !x.route.Kind.Retryable() || pending != 1 || x.attempts+pending >= x.route.MaxAttempts {
		return false
	}
	return x.forwarder.budget(x.service.Name).Withdraw()
}

// attempt makes one call and reads its answer to the end.
func (x *run) attempt(ctx context.Context, choice upstream.Choice, c Call) attemptResult {
	began := time.Now()
	reply, err := x.forwarder.cfg.Caller.Call(ctx, c)
	if err != nil {
		return x.attemptFailed(choice, began, callError(choice, err))
	}
	defer reply.Body.Close()
	if failure := x.refusal(choice, reply); failure != nil {
		drain(reply.Body)
		return x.attemptFailed(choice, began, failure)
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, x.forwarder.cfg.MaxResponseBytes+1))
	if err == nil && int64(len(body)) > x.forwarder.cfg.MaxResponseBytes {
		err = errors.New("the answer is too long")
	}
	if err != nil || !reply.Verified {
		if err == nil {
			err = errNotGenuine
		}
		return x.attemptFailed(choice, began, broken(choice, err))
	}
	answer := wholeAnswer{
		status: reply.Status,
		header: reply.Header,
		body:   body,
	}
	if reply.Status >= http.StatusInternalServerError || promisesNotRun(reply.Status) {
		return x.upstreamFailed(choice, began, reply, answer)
	}
	x.note(choice, began, time.Since(began), false, nil, reply.Load)
	return attemptResult{
		answer: answer,
	}
}

func (x *run) attemptFailed(choice upstream.Choice, began time.Time, failure *pipeline.CallError) attemptResult {
	x.note(choice, began, 0, false, failure, nil)
	return attemptResult{
		failure: failure,
		err:     failure,
	}
}

// upstreamFailed takes in a whole answer that says that the request ran and failed.
// It is passed on unless its status would promise that the request has not run.
func (x *run) upstreamFailed(choice upstream.Choice, began time.Time, reply *Response, answer wholeAnswer) attemptResult {
	failure := &pipeline.CallError{
		Addr:      choice.Addr,
		Execution: pipeline.RanAndFailed,
		Err:       fmt.Errorf("the upstream answered %d", reply.Status),
	}
	x.note(choice, began, 0, false, failure, reply.Load)
	return attemptResult{
		answer:  answer,
		failed:  !promisesNotRun(reply.Status),
		failure: failure,
		err:     failure,
	}
}

// refusal returns the failure of an answer that says that the request has not run.
func (x *run) refusal(choice upstream.Choice, reply *Response) *pipeline.CallError {
	if !reply.NotRun {
		return nil
	}
	failure := &pipeline.CallError{
		Addr:      choice.Addr,
		Execution: pipeline.Refused,
		Err:       fmt.Errorf("the upstream refused with %d", reply.Status),
	}
	if reply.WrongInstance || reply.Leaving {
		failure.Execution = pipeline.RefusedLeaving
	}
	return failure
}

// promisesNotRun reports whether callers take a status as a promise that the request
// has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func callError(choice upstream.Choice, err error) *pipeline.CallError {
	var failure *pipeline.CallError
	if errors.As(err, &failure) {
		return failure
	}
	return broken(choice, err)
}

func broken(choice upstream.Choice, err error) *pipeline.CallError {
	return &pipeline.CallError{
		Addr:      choice.Addr,
		Execution: pipeline.MayHaveRun,
		Err:       err,
	}
}

// drain reads the rest of a short body, so that its connection can be kept.
func drain(body io.Reader) {
	const most = 64 << 10
	_, _ = io.CopyN(io.Discard, body, most)
}
