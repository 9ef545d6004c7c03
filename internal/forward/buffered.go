package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"sequoiafork/internal/bytequota"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/panics"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
)

// errUnverified reports a response that is not Verified.
var errUnverified = errors.New("the response does not belong to this request")

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	response bufferedResponse
	failure  *pipeline.CallError
	// upstreamError reports that response is an error response of the upstream, which may
	// be forwarded.
	upstreamError bool
	// second reports that the attempt was a hedge within the budget of work.
	second bool
	err    error
}

// serveBuffered serves a request whose response is not a stream.
func (x *execution) serveBuffered(ctx context.Context) outcome.Outcome {
	r := bufferedRun{
		execution: x,
		// The buffer keeps an attempt that ends after this function has returned from blocking.
		results:  make(chan attemptResult, x.route.MaxAttempts+2*maxRejections+1),
		budgeted: x.newHedging(),
	}
	defer r.budgeted.close()
	if err := r.start(ctx); err != nil {
		return x.failureOutcome(ctx, err)
	}
	hedge := time.NewTimer(x.hedgeDelay())
	defer hedge.Stop()
	if r.budgeted != nil {
		hedge.Stop()
	}
	var last attemptResult
	for r.pending > 0 {
		select {
		case <-hedge.C:
			r.hedgeByObjective(ctx)
			continue
		case <-r.budgeted.due():
			r.hedgeWithinBudget(ctx)
			continue
		case result := <-r.results:
			r.pending--
			r.settle(result)
			if result.failure == nil && !result.upstreamError {
				x.writer.WriteResponse(result.response.status, result.response.header, result.response.body)
				return x.answered()
			}
			last = x.moreInformative(last, result)
			if !r.mayStartNext(ctx, result.failure) {
				continue
			}
			if err := r.start(ctx); err != nil && r.pending == 0 && !last.upstreamError {
				return x.failureOutcome(ctx, err)
			}
		}
	}
	if last.upstreamError {
		x.writer.WriteResponse(last.response.status, last.response.header, last.response.body)
		return x.answered()
	}
	return x.failureOutcome(ctx, last.err)
}

// moreInformative returns the failed attempt that tells the caller more: one with an
// error response of the upstream, else the later one.
func (x *execution) moreInformative(a, b attemptResult) attemptResult {
	if a.upstreamError && !b.upstreamError {
		return a
	}
	return b
}

func (x *execution) answered() outcome.Outcome {
	return outcome.Answered{
		RequestID: x.req.ID,
	}
}

// attempt makes one call and reads its response to the end. The call ends with callCtx, and the memory of the response
// is kept until ctx ends.
func (x *execution) attempt(ctx, callCtx context.Context, choice upstream.Choice) attemptResult {
	if failure := awaitTurn(callCtx, choice); failure != nil {
		return x.attemptFailed(choice, time.Now(), failure)
	}
	began := time.Now()
	resp, err := x.callUpstream(callCtx, choice)
	if err != nil {
		return x.attemptFailed(choice, began, callError(choice, err))
	}
	defer resp.Body.Close()
	choice.Observe(resp.Notice)
	if failure := x.rejection(choice, resp); failure != nil {
		return x.attemptFailed(choice, began, failure)
	}
	if !resp.Verified {
		return x.attemptFailed(choice, began, mayHaveRun(choice, errUnverified))
	}
	memory := x.forwarder.cfg.Memory.Reserve()
	body, err := panics.Value(x.forwarder.cfg.Logger, "body", func() ([]byte, error) {
		return readBody(memory, choice.Addr, resp, x.forwarder.cfg.MaxResponseBytes)
	})
	if err != nil {
		memory.Release()
		return x.attemptFailed(choice, began, mayHaveRun(choice, lostOr(callCtx, err)))
	}
	memory.ReleaseAfter(ctx)
	response := bufferedResponse{
		status: resp.Status,
		header: resp.Header,
		body:   body,
	}
	if resp.Status >= http.StatusInternalServerError || impliesNotRun(resp.Status) {
		return x.upstreamFailure(choice, began, resp, response)
	}
	x.reportResult(choice, began, time.Since(began), false, nil, resp.Load)
	return attemptResult{
		response: response,
	}
}

// callUpstream makes a call. It fails if the client panics, such as on a response that it can't decode: the attempt
// runs in its own goroutine, where a panic would end the process.
func (x *execution) callUpstream(ctx context.Context, choice upstream.Choice) (*Response, error) {
	cfg := x.forwarder.cfg
	return panics.Value(cfg.Logger, "call", func() (*Response, error) { return cfg.Client.Call(ctx, x.call(choice)) })
}

// readBody reads the complete body of a response into reserved memory.
func readBody(memory *bytequota.Reservation, addr string, resp *Response, maxBytes int64) ([]byte, error) {
	body, err := memory.ReadAll(resp.Body, maxBytes)
	if err != nil {
		return nil, fmt.Errorf("read response of %s: %w", addr, err)
	}
	return body, nil
}

func (x *execution) attemptFailed(choice upstream.Choice, began time.Time, failure *pipeline.CallError) attemptResult {
	x.reportResult(choice, began, 0, false, failure, nil)
	return attemptResult{
		failure: failure,
		err:     failure,
	}
}

// upstreamFailure records a verified response as the failure of a request that ran. The
// response may be forwarded unless callers take its status to mean that the request has
// not run.
func (x *execution) upstreamFailure(choice upstream.Choice, began time.Time, resp *Response, response bufferedResponse) attemptResult {
	failure := upstreamError(choice, resp)
	x.reportResult(choice, began, 0, false, failure, resp.Load)
	return attemptResult{
		response:      response,
		upstreamError: !impliesNotRun(resp.Status),
		failure:       failure,
		err:           failure,
	}
}

// upstreamError returns the error of a verified response to a request that ran and failed.
func upstreamError(choice upstream.Choice, resp *Response) *pipeline.CallError {
	return &pipeline.CallError{
		Addr:       choice.Addr,
		Execution:  pipeline.RanAndFailed,
		Overloaded: resp.Notice.Pause > 0,
		Err:        fmt.Errorf("the upstream responded with status %d", resp.Status),
	}
}

// rejection returns the error of a response that states that the request has not run, or
// nil.
func (x *execution) rejection(choice upstream.Choice, resp *Response) *pipeline.CallError {
	if !resp.NotRun {
		return nil
	}
	failure := &pipeline.CallError{
		Addr:      choice.Addr,
		Execution: pipeline.Refused,
		Err:       fmt.Errorf("the upstream rejected the request with status %d", resp.Status),
	}
	if resp.OtherIncarnation || resp.Draining {
		failure.Execution = pipeline.RefusedLeaving
	}
	return failure
}

// impliesNotRun reports whether callers take a status to guarantee that the request has
// not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// callError returns err as a CallError. Other errors count as having possibly run.
func callError(choice upstream.Choice, err error) *pipeline.CallError {
	var failure *pipeline.CallError
	if errors.As(err, &failure) {
		return failure
	}
	return mayHaveRun(choice, err)
}

// mayHaveRun returns the error of an attempt that the upstream may have run.
func mayHaveRun(choice upstream.Choice, err error) *pipeline.CallError {
	return &pipeline.CallError{
		Addr:      choice.Addr,
		Execution: pipeline.MayHaveRun,
		Err:       err,
	}
}
