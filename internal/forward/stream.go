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
	stallFactor = 4
	leastStall  = 1200 * time.Millisecond
	// gapStalls says how many times the objective for a pause between events a pause
	// may take, and defaultGap stands in where the route has no such objective.
	gapStalls  = 2.5
	defaultGap = 400 * time.Millisecond
)

// stallWatch notices an upstream that has stopped sending.
type stallWatch struct {
	timer *time.Timer
	gap   time.Duration
}

// watch calls onStall when the upstream is silent for too long, if the request may go
// on elsewhere.
func (x *run) watch(onStall func()) *stallWatch {
	if !x.route.Kind.Retryable() || x.attempts+1 >= x.route.MaxAttempts {
		return &stallWatch{}
	}
	gap := x.route.GapObjective
	if gap <= 0 {
		gap = defaultGap
	}
	return &stallWatch{
		timer: time.AfterFunc(max(stallFactor*x.firstAnswerTime(), leastStall), onStall),
		gap:   time.Duration(gapStalls * float64(gap)),
	}
}

// event notes that an event has come.
func (w *stallWatch) event() {
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
func (x *run) stream(ctx context.Context) outcome.Outcome {
	for {
		choice, err := x.pick()
		if err != nil {
			return x.explain(ctx, err)
		}
		failure := x.streamFrom(ctx, choice)
		if failure == nil {
			return x.answered()
		}
		if !x.mayRetry(ctx, failure, 0) {
			return x.explain(ctx, failure)
		}
		if stopped := x.renewInputs(ctx); stopped != nil {
			return stopped
		}
		x.forwarder.cfg.Logger.Info("stream goes on at another upstream",
			zap.String("request_id", x.req.ID), zap.Int64("last_event_id", x.lastID), zap.Bool("begun", x.begun))
	}
}

// renewInputs has the stages done again if their results were given up already.
func (x *run) renewInputs(ctx context.Context) outcome.Outcome {
	if x.inputs == nil || x.ticket != nil {
		return nil
	}
	return x.runStages(ctx)
}

// streamFrom passes on the events of one upstream until the stream ends.
func (x *run) streamFrom(ctx context.Context, choice upstream.Choice) *pipeline.CallError {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := x.watch(func() { cancel(errStalled) })
	defer stall.stop()
	began := time.Now()
	var first time.Duration
	reply, err := x.forwarder.cfg.Caller.Call(ctx, x.call(choice))
	if err != nil {
		failure := callError(choice, err)
		x.note(choice, began, 0, false, failure, nil)
		return failure
	}
	defer reply.Body.Close()
	if failure := x.streamRefusal(choice, reply); failure != nil {
		x.note(choice, began, 0, false, failure, reply.Load)
		return failure
	}
	if reply.Status != http.StatusOK || !reply.Verified {
		return x.streamWithoutEvents(choice, began, reply)
	}
	x.release()
	err = x.pass(reply, stall, func() {
		first = max(time.Since(began), 1)
		choice.ResponseStarted()
		x.forwarder.times.Observe(x.route.Name, first)
	})
	var failure *pipeline.CallError
	if err != nil {
		failure = broken(choice, err)
		if errors.Is(err, errCallerGone) {
			failure.Err = context.Canceled
		}
		failure.TimedOut = errors.Is(context.Cause(ctx), errStalled)
	}
	x.note(choice, began, first, first > 0, failure, reply.Load)
	return failure
}

func (x *run) streamRefusal(choice upstream.Choice, reply *Response) *pipeline.CallError {
	failure := x.refusal(choice, reply)
	if failure == nil {
		return nil
	}
	drain(reply.Body)
	if reply.InputGone {
		x.release()
	}
	return failure
}

// streamWithoutEvents passes on an answer that is no stream: the upstream's failure.
func (x *run) streamWithoutEvents(choice upstream.Choice, began time.Time, reply *Response) *pipeline.CallError {
	failure := broken(choice, errNotGenuine)
	if reply.Verified {
		body, err := io.ReadAll(io.LimitReader(reply.Body, x.forwarder.cfg.MaxResponseBytes))
		failure = x.upstreamFailed(choice, began, reply, wholeAnswer{}).failure
		if err == nil && !x.begun && !promisesNotRun(reply.Status) && !x.route.Kind.Retryable() {
			x.answer.WriteResponse(reply.Status, reply.Header, body)
			return nil
		}
		return failure
	}
	x.note(choice, began, 0, false, failure, reply.Load)
	return failure
}

// pass passes events on until the stream ends whole. The answer begins with the first
// event, so that until then another upstream can take over without a trace.
func (x *run) pass(reply *Response, stall *stallWatch, onFirst func()) error {
	events := eventstream.NewReader(reply.Body)
	some := false
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !x.begun {
				return errNoEvents
			}
			return nil
		}
		if err != nil {
			return err
		}
		stall.event()
		if !some {
			some = true
			onFirst()
		}
		if e.HasID && x.hasLast && e.ID <= x.lastID {
			continue // The caller has it already.
		}
		if !x.begun {
			x.begun = true
			x.answer.BeginStream(reply.Status, reply.Header)
		}
		if err := x.answer.WriteEvent(e.Raw); err != nil {
			return errCallerGone
		}
		if e.HasID {
			x.lastID, x.hasLast = e.ID, true
		}
	}
}
