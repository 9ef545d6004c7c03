package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/eventstream"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
)

var errNoEvents = errors.New("the stream ended before its first event")

// errCallerGone reports that an event could not be written to the caller.
var errCallerGone = errors.New("the caller no longer receives events")

// errStalled reports an upstream that has sent nothing for too long.
var errStalled = errors.New("the upstream has stalled")

// silenceError reports an attempt that was given up because of errStalled.
type silenceError struct {
	// silent is the time since the attempt's last event, or since its start.
	silent time.Duration
	// events reports that the attempt had received events.
	events bool
}

// Error implements error.
func (e *silenceError) Error() string {
	last := "start"
	if e.events {
		last = "last event"
	}
	return fmt.Sprintf("%v: nothing received in the %v since its %s", errStalled, e.silent.Round(time.Millisecond), last)
}

// Unwrap returns errStalled.
func (e *silenceError) Unwrap() error { return errStalled }

const (
	// The first event may take firstEventStallFactor times the estimate of firstEventTime,
	// but at least minStallTimeout, before another upstream is tried.
	firstEventStallFactor = 4
	minStallTimeout       = 1200 * time.Millisecond
	// A gap between two events may last gapStallFactor times the route's event gap
	// objective. defaultEventGapObjective applies if the route has none.
	gapStallFactor           = 2.5
	defaultEventGapObjective = 400 * time.Millisecond
)

// stallWatch detects an upstream that has stopped sending.
type stallWatch struct {
	timer *time.Timer
	gap   time.Duration
}

// watchForStall calls onStall when the upstream sends nothing for too long, unless the
// request can't be retried at another upstream.
func (x *execution) watchForStall(onStall func()) *stallWatch {
	if !x.route.Kind.Retryable() || x.attempts+1 >= x.route.MaxAttempts {
		return &stallWatch{}
	}
	gap := x.route.EventGapObjective
	if gap <= 0 {
		gap = defaultEventGapObjective
	}
	return &stallWatch{
		timer: time.AfterFunc(max(firstEventStallFactor*x.firstEventTime(), minStallTimeout), onStall),
		gap:   time.Duration(gapStallFactor * float64(gap)),
	}
}

// eventReceived restarts the timer after an event.
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

// serveStream serves a request whose response is a stream of events.
func (x *execution) serveStream(ctx context.Context) outcome.Outcome {
	for {
		choice, err := x.pickUpstream(x.maxDelay())
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
		x.forwarder.cfg.Logger.Info("stream continues at another upstream",
			zap.String("request_id", x.req.ID), zap.Int64("last_event_id", x.lastID), zap.Bool("begun", x.responseStarted))
	}
}

// rerunStages runs the stages again if their results have been released already.
func (x *execution) rerunStages(ctx context.Context) outcome.Outcome {
	if x.inputs == nil || x.job != nil {
		return nil
	}
	return x.runStages(ctx)
}

// streamFrom forwards the events of one upstream until the stream ends.
func (x *execution) streamFrom(ctx context.Context, choice upstream.Choice) *pipeline.CallError {
	if failure := awaitTurn(ctx, choice); failure != nil {
		x.reportResult(choice, time.Now(), 0, false, failure, nil)
		return failure
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := x.watchForStall(func() { cancel(errStalled) })
	defer stall.stop()
	began := time.Now()
	var first time.Duration
	resp, err := x.forwarder.cfg.Caller.Call(ctx, x.call(choice))
	if err != nil {
		failure := callError(choice, err)
		markSilence(ctx, failure, began, false)
		x.reportResult(choice, began, 0, false, failure, nil)
		return failure
	}
	defer resp.Body.Close()
	choice.Observe(resp.Notice)
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
		markSilence(ctx, failure, x.lastReceivedAt(began), first > 0)
	}
	x.reportResult(choice, began, first, first > 0, failure, resp.Load)
	return failure
}

// lastReceivedAt returns when the attempt that began at began received its last event, or began.
func (x *execution) lastReceivedAt(began time.Time) time.Time {
	if x.lastEventAt.After(began) {
		return x.lastEventAt
	}
	return began
}

// markSilence makes a failure say that the attempt was given up because nothing had been received since a time,
// if that is why ctx has ended.
func markSilence(ctx context.Context, failure *pipeline.CallError, since time.Time, events bool) {
	if !errors.Is(context.Cause(ctx), errStalled) {
		return
	}
	failure.Err = &silenceError{
		silent: time.Since(since),
		events: events,
	}
}

// streamRejection returns the error of a response that rejects the request. It releases
// the stage results if one of them no longer exists, so that the stages run again.
func (x *execution) streamRejection(choice upstream.Choice, resp *Response) *pipeline.CallError {
	failure := x.rejection(choice, resp)
	if failure == nil {
		return nil
	}
	if resp.InputMissing {
		x.releaseJob()
	}
	return failure
}

// handleNonStream handles a response that is not a stream. A verified one is the
// upstream's error response; it is forwarded if the request may not be retried.
func (x *execution) handleNonStream(choice upstream.Choice, began time.Time, resp *Response) *pipeline.CallError {
	if !resp.Verified {
		failure := mayHaveRun(choice, errUnverified)
		x.reportResult(choice, began, 0, false, failure, resp.Load)
		return failure
	}
	if x.responseStarted || impliesNotRun(resp.Status) || x.route.Kind.Retryable() {
		return x.upstreamFailure(choice, began, resp, bufferedResponse{}).failure
	}
	memory := x.forwarder.cfg.Memory.Reserve()
	defer memory.Release()
	body, err := x.readBody(memory, choice, resp)
	failure := x.upstreamFailure(choice, began, resp, bufferedResponse{}).failure
	if err != nil {
		failure.Err = err
		return failure
	}
	x.writer.WriteResponse(resp.Status, resp.Header, body)
	return nil
}

// forwardEvents forwards events until the stream is complete. The response begins with the
// first event, so that before it the request can move to another upstream unnoticed.
func (x *execution) forwardEvents(resp *Response, stall *stallWatch, onFirst func()) error {
	events := eventstream.NewReader(eventstream.Config{
		Source: resp.Body,
		Memory: x.forwarder.cfg.Memory,
	})
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
			continue // The caller has received it already.
		}
		if !x.responseStarted {
			x.responseStarted = true
			x.writer.BeginStream(resp.Status, resp.Header)
		}
		if err := x.writer.WriteEvent(e.Raw); err != nil {
			return errCallerGone
		}
		x.lastEventAt = time.Now()
		if e.HasID {
			x.lastID, x.hasLastID = e.ID, true
		}
	}
}
