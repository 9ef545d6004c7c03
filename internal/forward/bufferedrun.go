package forward

import (
	"context"
	"errors"
	"time"

	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
)

const (
	// hedgeFraction is the fraction of the latency objective after which an idempotent
	// request is hedged.
	hedgeFraction = 0.5
)

// bufferedRun serves a request whose response is not a stream.
type bufferedRun struct {
	*execution
	results chan attemptResult
	pending int
	// budgeted decides about a hedge within the budget of work. It is nil if there is none.
	budgeted *hedging
}

// start starts the first attempt, or the next one after a failure.
func (r *bufferedRun) start(ctx context.Context) error {
	choice, err := r.pickUpstream(r.maxDelay())
	if err != nil {
		return err
	}
	r.budgeted.begin(choice)
	r.run(ctx, choice, false)
	return nil
}

// run runs an attempt in its own goroutine. second reports that it is a hedge within the budget of work.
func (r *bufferedRun) run(ctx context.Context, choice upstream.Choice, second bool) {
	r.pending++
	x, results := r.execution, r.results // r itself stays off the heap.
	if r.budgeted == nil {
		go func() { results <- x.attempt(ctx, ctx, choice) }()
		return
	}
	callCtx := r.budgeted.cancellable(ctx, second)
	go func() {
		result := x.attempt(ctx, callCtx, choice)
		result.second = second
		results <- result
	}()
}

// lostOr returns why an attempt lost to another one, or err if it did not. The end of its context is the error of a
// connection to whoever reads its response, and no failure of the upstream.
func lostOr(callCtx context.Context, err error) error {
	cause := context.Cause(callCtx)
	if errors.Is(cause, errSecondFaster) || errors.Is(cause, errHedgeNotNeeded) {
		return cause
	}
	return err
}

// settle records which attempt has ended, and cancels the other one if this one has got the response.
func (r *bufferedRun) settle(result attemptResult) {
	h := r.budgeted
	succeeded := result.failure == nil && !result.upstreamError
	switch {
	case h == nil:
	case succeeded && result.second:
		h.cancelFirst(errSecondFaster)
		h.secondWon()
		h.answered(time.Since(h.secondBegan))
	case succeeded:
		h.cancelSecond(errHedgeNotNeeded)
		h.firstWon(time.Since(h.began))
		h.answered(time.Since(h.began))
	case result.second:
		h.secondEnded()
	default:
		h.firstFailed()
	}
}

// mayStartNext reports whether another attempt may follow a failed one. While a hedge within the budget of work or the
// attempt that it hedges is in progress, that one takes the place of a retry.
func (r *bufferedRun) mayStartNext(ctx context.Context, failure *pipeline.CallError) bool {
	if r.budgeted != nil && r.pending > 0 {
		r.countFailure(failure)
		return false
	}
	return r.mayRetry(ctx, failure, r.pending)
}

// hedgeWithinBudget makes a second attempt if it is worth its work.
func (r *bufferedRun) hedgeWithinBudget(ctx context.Context) {
	if r.pending != 1 || r.attempts+r.pending >= r.route.MaxAttempts || r.rejections > maxRejections {
		return
	}
	if choice, ok := r.budgeted.pick(); ok {
		r.run(ctx, choice, true)
	}
}

// hedgeByObjective makes a second attempt after a part of the latency objective. Without a second upstream the first
// attempt continues alone.
func (r *bufferedRun) hedgeByObjective(ctx context.Context) {
	if !r.mayHedge(r.pending) {
		return
	}
	if choice, err := r.pickUpstream(0); err == nil {
		r.run(ctx, choice, false)
	}
}

func (x *execution) hedgeDelay() time.Duration {
	return time.Duration(hedgeFraction * float64(x.route.LatencyObjective))
}

// mayHedge reports whether the request may be sent to a second upstream while the first
// attempt is pending.
func (x *execution) mayHedge(pending int) bool {
	if !x.route.Kind.Retryable() || pending != 1 || x.attempts+pending >= x.route.MaxAttempts {
		return false
	}
	return x.retryBudget().Withdraw()
}
