package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/eventstream"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
)

// errNoEvents reports a stream that ended before its first event.
var errNoEvents = errors.New("the stream ended without an event")

// errCallerGone reports that the caller takes no more events.
var errCallerGone = errors.New("the caller takes no more events")

// errStalled reports an upstream that was silent for too long.
var errStalled = errors.New("the upstream is silent")

const (
	// stallFactor and leastStall say how long a first event may take, against what is
	// usual, before another upstream is asked.
	firstEventStallFactor = 4
	minStallTimeout       = 1200 * time.Millisecond
	// gapStalls says how many times the objective for a pause between events a pause
	// may take, and defaultGap stands in where the route has no such objective.
	gapStallFactor      = 2.5
	defaultGapObjective = 400 * time.Millisecond
)

// stallWatch notices an upstream that has stopped sending.
type stallWatch struct {
	timer *time.Timer
	gap   time.Duration
}

// watch calls onStall when the upstream is silent for too long, if the request may go
// on elsewhere.
func (x *execution) watchForStall(onStall func()) *stallWatch {
	if !x.route.Kind.Retryable() || x.attempts+1 >= x.route.MaxAttempts {
		return &stallWatch{}
	}
	gap := x.route.GapObjective
	if gap <= 0 {
		gap = defaultGapObjective
	}
	return &stallWatch{
		timer: time.AfterFunc(max(firstEventStallFactor*x.firstEventTime(), minStallTimeout), onStall),
		gap:   time.Duration(gapStallFactor * float64(gap)),
	}
}

// event notes that an event has come.
func (w *stallWatch) eventReceived() {
	if w.timer != nil {
		w.timer.Reset(w.gap)
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// stream serves a request whose answer is a stream of events.
func (x *execution) serveStream(ctx context.Context) outcome.Outcome {
	for {
		choice, err := x.pickUpstream()
		if err != nil {
			return x.failureOutcome(ctx, err)
		}
		failure := x.streamFrom(ctx, choice)
		if failure == nil {
			return x.answered()
		}
		if !x.mayRetry(ctx, failure, 0) {
			return x.failureOutcome(ctx, failure)
		}
		if failed := x.rerunStages(ctx); failed != nil {
			return failed
		}
		x.forwarder.cfg.Logger.Info("stream goes on at another upstream",
			zap.String("request_id", x.req.ID), zap.Int64("last_event_id", x.lastID), zap.Bool("begun", x.responseStarted))
	}
}

// renewInputs has the stages done again if their results were given up already.
func (x *execution) rerunStages(ctx context.Context) outcome.Outcome {
	if x.inputs == nil || x.job != nil {
		return nil
	}
	return x.runStages(ctx)
}

// streamFrom passes on the events of one upstream until the stream ends.
func (x *execution) streamFrom(ctx context.Context, choice upstream.Choice) *pipeline.CallError {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := x.watchForStall(func() { cancel(errStalled) })
	defer stall.stop()
	began := time.Now()
	var first time.Duration
	resp, err := x.forwarder.cfg.Caller.Call(ctx, x.call(choice))
	if err != nil {
		failure := callError(choice, err)
		x.reportResult(choice, began, 0, false, failure, nil)
		return failure
	}
	defer resp.Body.Close()
	if failure := x.streamRejection(choice, resp); failure != nil {
		x.reportResult(choice, began, 0, false, failure, resp.Load)
		return failure
	}
	if resp.Status != http.StatusOK || !resp.Verified {
		return x.handleNonStream(choice, began, resp)
	}
	x.releaseJob()
	err = x.forwardEvents(resp, stall, func() {
		first = max(time.Since(began), 1)
		choice.ResponseStarted()
		x.forwarder.times.Observe(x.route.Name, first)
	})
	var failure *pipeline.CallError
	if err != nil {
		failure = mayHaveRun(choice, err)
		if errors.Is(err, errCallerGone) {
			failure.Err = context.Canceled
		}
		failure.TimedOut = errors.Is(context.Cause(ctx), errStalled)
	}
	x.reportResult(choice, began, first, first > 0, failure, resp.Load)
	return failure
}

func (x *execution) streamRejection(choice upstream.Choice, resp *Response) *pipeline.CallError {
	failure := x.rejection(choice, resp)
	if failure == nil {
		return nil
	}
	discardBody(resp.Body)
	if resp.InputGone {
		x.releaseJob()
	}
	return failure
}

// streamWithoutEvents passes on an answer that is no stream: the upstream's failure.
func (x *execution) handleNonStream(choice upstream.Choice, began time.Time, resp *Response) *pipeline.CallError {
	failure := mayHaveRun(choice, errUnverified)
	if resp.Verified {
		body, err := io.ReadAll(io.LimitReader(resp.Body, x.forwarder.cfg.MaxResponseBytes))
		failure = x.upstreamFailure(choice, began, resp, bufferedResponse{}).failure
		if err == nil && !x.responseStarted && !impliesNotRun(resp.Status) && !x.route.Kind.Retryable() {
			x.writer.WriteResponse(resp.Status, resp.Header, body)
			return nil
		}
		return failure
	}
	x.reportResult(choice, began, 0, false, failure, resp.Load)
	return failure
}

// pass passes events on until the stream ends whole. The answer begins with the first
// event, so that until then another upstream can take over without a trace.
func (x *execution) forwardEvents(resp *Response, stall *stallWatch, onFirst func()) error {
	events := eventstream.NewReader(resp.Body)
	received := false
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !x.responseStarted {
				return errNoEvents
			}
			return nil
		}
		if err != nil {
			return err
		}
		stall.eventReceived()
		if !received {
			received = true
			onFirst()
		}
		if e.HasID && x.hasLastID && e.ID <= x.lastID {
			continue // The caller has it already.
		}
		if !x.responseStarted {
			x.responseStarted = true
			x.writer.BeginStream(resp.Status, resp.Header)
		}
		if err := x.writer.WriteEvent(e.Raw); err != nil {
			return errCallerGone
		}
		if e.HasID {
			x.lastID, x.hasLastID = e.ID, true
		}
	}
}
