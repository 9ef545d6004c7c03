package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/quarantine"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/upstream"
)

// notRun returns the outcome of a request that no upstream has received.
func (x *execution) notRun(code outcome.Code, message string, retryAfter time.Duration) *outcome.NotRun {
	return &outcome.NotRun{
		RequestID:  x.req.ID,
		Code:       code,
		Message:    message,
		RetryAfter: retryAfter,
	}
}

// stageFailure returns the outcome of a request whose stages failed.
func (x *execution) stageFailure(ctx context.Context, err error) outcome.Outcome {
	var rejected *stagework.RejectedError
	switch {
	case errors.Is(context.Cause(ctx), errStopping):
		return x.stoppedOutcome()
	case errors.As(err, &rejected):
		return x.withoutResponse(outcome.CodeOverloaded, rejected.Message, rejected.RetryAfter)
	case errors.Is(ctx.Err(), context.Canceled):
		return x.withoutResponse(outcome.CodeCallerGone, "the caller went away", 0)
	case ctx.Err() != nil:
		return x.withoutResponse(outcome.CodeDeadlineExceeded, "the deadline passed during the stages", noUpstreamRetryAfter)
	}
	return x.withoutResponse(outcome.CodeUpstreamFailed, err.Error(), noUpstreamRetryAfter)
}

// withoutResponse returns the outcome of a prepared request that gets no response. All
// such outcomes are created here. It is NotRun only if no upstream may have acted on the
// request.
func (x *execution) withoutResponse(code outcome.Code, message string, retryAfter time.Duration) outcome.Outcome {
	if x.attempts == 0 && !x.responseStarted {
		return *x.notRun(code, message, retryAfter)
	}
	if x.route.Kind.Retryable() {
		return outcome.Failed{
			RequestID:  x.req.ID,
			Code:       code,
			Message:    message,
			RetryAfter: retryAfter,
		}
	}
	return outcome.Unknown{
		RequestID: x.req.ID,
		Code:      code,
		Message:   message,
	}
}

// stoppedOutcome returns the outcome of a request that EndRequests has ended. Other daemons take it at once.
func (x *execution) stoppedOutcome() outcome.Outcome {
	return x.withoutResponse(outcome.CodeDraining, errStopping.Error(), notReadyRetryAfter)
}

// failureOutcome converts the error of the last attempt into an outcome.
func (x *execution) failureOutcome(ctx context.Context, err error) outcome.Outcome {
	var none *upstream.NoUpstreamError
	var held *quarantine.HeldError
	var failure *pipeline.CallError
	switch {
	case errors.Is(context.Cause(ctx), errStopping):
		return x.stoppedOutcome()
	case errors.Is(ctx.Err(), context.Canceled):
		return x.withoutResponse(outcome.CodeCallerGone, "the caller went away", 0)
	case ctx.Err() != nil:
		return x.withoutResponse(outcome.CodeDeadlineExceeded, "the deadline passed", noUpstreamRetryAfter)
	case errors.As(err, &held):
		return x.withoutResponse(outcome.CodeQuarantined, held.Error(), held.RetryAfter)
	case errors.As(err, &none):
		retry := none.RetryAfter
		if retry == 0 {
			retry = noUpstreamRetryAfter
		}
		if x.lastFailure != nil && x.lastFailure.Execution < pipeline.MayHaveRun {
			return x.withoutResponse(outcome.CodeOverloaded, x.lastFailure.Error(), retry)
		}
		if x.lastFailure != nil {
			return x.withoutResponse(outcome.CodeUpstreamBroken, fmt.Sprintf("%v, after %v", none, x.lastFailure), retry)
		}
		return x.withoutResponse(outcome.CodeNoUpstream, none.Error(), retry)
	case errors.As(err, &failure) && failure.Execution < pipeline.MayHaveRun:
		return x.withoutResponse(outcome.CodeOverloaded, failure.Error(), noUpstreamRetryAfter)
	}
	return x.withoutResponse(outcome.CodeUpstreamBroken, err.Error(), noUpstreamRetryAfter)
}
