package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/eventstream"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
)

var (
	errNoEvents = errors.New("the stream ended before its first event")
	// errNoFirstEvent ends an attempt whose upstream sends blank lines and comments only.
	errNoFirstEvent = fmt.Errorf("more than %d bytes before the first event", maxLeadingBytes)
)

// errHedgeNotNeeded ends an attempt that was started since another upstream was silent.
var errHedgeNotNeeded = errors.New("the silent upstream has gone on")

// errSecondFaster ends an attempt whose hedge has responded first.
var errSecondFaster = errors.New("the second attempt has responded first")

// silenceError reports an attempt that was replaced because its upstream was silent.
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
	return fmt.Sprintf("the upstream has stalled: nothing received in the %v since its %s", e.silent.Round(time.Millisecond), last)
}

const (
	// The first event may take firstEventStallFactor times the estimate of firstEventTime,
	// but at least minStallTimeout, before another upstream is tried.
	firstEventStallFactor = 4
	minStallTimeout       = 1200 * time.Millisecond
	// A gap between two events may last gapStallFactor times the route's event gap
	// objective, but at least minGapTimeout: a healthy process may pause for over a second.
	// defaultEventGapObjective applies if the route has none.
	gapStallFactor           = 2.5
	minGapTimeout            = 2 * time.Second
	defaultEventGapObjective = 400 * time.Millisecond
)

// streamRun serves a request whose response is a stream of events. While the upstream is
// silent it makes a second attempt, and the one that receives an event first goes on.
// The first is not given up before, since a silent upstream may go on, and the second may
// be rejected.
type streamRun struct {
	*execution
	current *streamAttempt
	// hedge is the second attempt, or nil.
	hedge *streamAttempt
	// rerun is the run of the stages that a second attempt waits for, or nil. Its retry has been
	// withdrawn from the budget already. Without a current attempt, the next one waits for it.
	rerun *stageRerun
	// budgeted decides about a hedge within the budget of work, which takes the place of hedge too.
	budgeted *hedging
	// silence fires when nothing has been received for too long.
	silence *time.Timer
}

// serveStream serves a request whose response is a stream of events.
func (x *execution) serveStream(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &streamRun{
		execution: x,
		budgeted:  x.newHedging(),
		silence:   time.NewTimer(0),
	}
	defer s.stop()
	if o := s.start(ctx); o != nil {
		return o
	}
	for {
		if o := s.step(ctx); o != nil {
			return o
		}
	}
}

// step handles the next thing that happens. It returns the outcome when the request has ended, otherwise nil.
func (s *streamRun) step(ctx context.Context) outcome.Outcome {
	fromCurrent, currentEnded := receivedFrom(s.current)
	fromHedge, hedgeEnded := receivedFrom(s.hedge)
	select {
	case r := <-fromCurrent:
		return s.onReceived(ctx, s.current, r)
	case err := <-currentEnded:
		return s.onEnd(ctx, s.current, err)
	case r := <-fromHedge:
		return s.onReceived(ctx, s.hedge, r)
	case err := <-hedgeEnded:
		return s.onEnd(ctx, s.hedge, err)
	case r := <-s.rerun.results():
		return s.onRerun(ctx, r)
	case <-s.silence.C:
		s.onSilence(ctx)
	case <-s.budgeted.due():
		s.onHedgeDue(ctx)
	}
	return nil
}

// start starts the first attempt, or the next one after a failure.
func (s *streamRun) start(ctx context.Context) outcome.Outcome {
	choice, err := s.pickUpstream(s.maxDelay())
	if err != nil {
		return s.failureOutcome(ctx, err)
	}
	s.current = s.attemptStream(ctx, choice)
	s.budgeted.begin(choice)
	s.silence.Reset(choice.Delay + s.firstEventTimeout())
	return nil
}

// stop ends all attempts.
func (s *streamRun) stop() {
	s.silence.Stop()
	s.abandonRerun()
	s.releaseJob() // Before its context ends, which looks like a broken connection to the owner.
	if s.hedge != nil {
		s.abandonHedge()
	}
	if s.current != nil {
		s.current.cancel(nil)
	}
	s.budgeted.close()
}

// firstEventTimeout returns how long an attempt may take for its first event before another upstream is tried.
func (x *execution) firstEventTimeout() time.Duration {
	return max(firstEventStallFactor*x.firstEventTime(), minStallTimeout)
}

// gapTimeout returns how long a gap between two events may last before another upstream is tried.
func (x *execution) gapTimeout() time.Duration {
	gap := x.route.EventGapObjective
	if gap <= 0 {
		gap = defaultEventGapObjective
	}
	return max(time.Duration(gapStallFactor*float64(gap)), minGapTimeout)
}

// onReceived handles what an attempt has received.
func (s *streamRun) onReceived(ctx context.Context, a *streamAttempt, r received) outcome.Outcome {
	switch r := r.(type) {
	case streamBegun:
		a.response = r.response
		a.choice.Observe(r.response.Notice)
		if a.goesOn {
			if err := s.checkHead(r.response.Header); err != nil {
				return s.onFailure(ctx, a, mayHaveRun(a.choice, err), a.load())
			}
		}
		s.releaseJob()
	case streamEvent:
		if !r.event.HasFields {
			return s.onComment(ctx, a, r.event)
		}
		if a.goesOn {
			if err := s.checkNext(r.event); err != nil {
				return s.onFailure(ctx, a, mayHaveRun(a.choice, err), a.load())
			}
		}
		return s.onEvent(a, r.event)
	case otherResponse:
		a.choice.Observe(r.response.Notice)
		return s.onOtherResponse(ctx, a, r)
	}
	return nil
}

// onEvent forwards an event unless the caller has received it already. The response
// begins with the first event, so that before it the request can move to another upstream
// unnoticed.
func (s *streamRun) onEvent(a *streamAttempt, e eventstream.Event) outcome.Outcome {
	s.keep(a)
	defer func() { s.silence.Reset(s.gapTimeout()) }() // A caller that reads slowly is not the upstream's silence.
	a.lastReceived = time.Now()
	if a.firstEvent == 0 {
		a.firstEvent = max(time.Since(a.began), 1)
		a.choice.ResponseStarted()
		s.budgeted.firstWon(a.firstEvent)
		s.forwarder.times.Observe(s.route.Name, a.firstEvent)
	}
	if !a.settled && hasSettled(a.began, a.firstEvent) {
		a.settled = true
		s.recordSuccess()
	}
	if e.HasID && s.hasLastID && e.ID <= s.lastID {
		return nil
	}
	if !s.responseStarted {
		s.responseStarted = true
		s.mediaType = mediaType(a.response.Header)
		s.setOrigin(a.choice)
		s.writer.BeginStream(a.response.Status, a.response.Header)
	}
	withLeading := e
	if len(a.leading) > 0 && !s.hasLastID {
		withLeading.Raw = append(a.leading, e.Raw...)
	}
	a.leading = nil
	if gone := s.write(a, withLeading); gone != nil {
		return gone
	}
	s.lastEventAt = a.lastReceived
	s.forwarded(e)
	return nil
}

// onComment forwards what is no event for the caller. An upstream that sends nothing else is silent, and does not
// begin the response: what precedes its first event is forwarded with that. An attempt fails if that is too much.
func (s *streamRun) onComment(ctx context.Context, a *streamAttempt, e eventstream.Event) outcome.Outcome {
	switch {
	case a.firstEvent == 0 && len(a.leading)+len(e.Raw) > maxLeadingBytes:
		return s.onFailure(ctx, a, mayHaveRun(a.choice, errNoFirstEvent), a.load())
	case a.firstEvent == 0:
		a.leading = append(a.leading, e.Raw...)
	case a.firstEvent > 0 && a == s.current && s.responseStarted:
		return s.write(a, e)
	}
	return nil
}

// write writes to the caller. It returns the outcome if the caller is gone, otherwise nil.
func (s *streamRun) write(a *streamAttempt, e eventstream.Event) outcome.Outcome {
	if err := s.writer.WriteEvent(e.Raw); err == nil {
		return nil
	}
	failure := mayHaveRun(a.choice, context.Canceled)
	s.countFailure(failure)
	s.report(a, failure)
	return s.withoutResponse(outcome.CodeCallerGone, "the caller no longer receives events", 0)
}

// logContinued logs that another upstream serves the request from now on.
func (s *streamRun) logContinued() {
	s.forwarder.cfg.Logger.Info("stream continues at another upstream",
		zap.String("request_id", s.req.ID), zap.Int64("last_event_id", s.lastID), zap.Bool("begun", s.responseStarted))
}

// onOtherResponse handles a response that is not a stream. One that states that the request has not run is
// a rejection. Another verified one is the upstream's error response, which is forwarded if the request
// may not be retried.
func (s *streamRun) onOtherResponse(ctx context.Context, a *streamAttempt, r otherResponse) outcome.Outcome {
	if failure := s.rejection(a.choice, r.response); failure != nil {
		if r.response.InputMissing {
			s.releaseJob() // The stages run again.
		}
		return s.onFailure(ctx, a, failure, r.response.Load)
	}
	if !r.response.Verified {
		return s.onFailure(ctx, a, mayHaveRun(a.choice, errUnverified), r.response.Load)
	}
	failure := upstreamError(a.choice, r.response)
	if r.err != nil {
		failure.Err = r.err
	}
	if r.err == nil && !s.responseStarted && !impliesNotRun(r.response.Status) && !s.route.Kind.Retryable() {
		s.reportResult(a.choice, a.began, 0, false, failure, r.response.Load)
		s.writer.WriteResponse(r.response.Status, r.response.Header, r.body)
		return s.answered()
	}
	return s.onFailure(ctx, a, failure, r.response.Load)
}

// onEnd handles the end of an attempt. A stream that is complete ends the request. One without events does not tell that
// the stream which it was to go on with is complete.
func (s *streamRun) onEnd(ctx context.Context, a *streamAttempt, err error) outcome.Outcome {
	complete := a.response != nil && errors.Is(err, io.EOF)
	empty := a.firstEvent == 0 && (a == s.hedge || a.goesOn)
	if complete && s.responseStarted && !empty {
		s.keep(a)
		s.report(a, nil)
		s.budgeted.answered(time.Since(a.began))
		return s.answered()
	}
	if complete {
		err = errNoEvents
	}
	return s.onFailure(ctx, a, callError(a.choice, err), a.load())
}

// load returns the load that the response reports, or nil.
func (a *streamAttempt) load() *upstream.Load {
	if a.response == nil {
		return nil
	}
	return a.response.Load
}

// report reports the result of an attempt.
func (s *streamRun) report(a *streamAttempt, failure *pipeline.CallError) {
	s.reportResult(a.choice, a.began, a.firstEvent, a.firstEvent > 0, failure, a.load())
}

// onFailure handles a failed attempt: the other one goes on, or a new one starts.
func (s *streamRun) onFailure(ctx context.Context, a *streamAttempt, failure *pipeline.CallError, load *upstream.Load) outcome.Outcome {
	a.cancel(nil)
	s.reportResult(a.choice, a.began, a.firstEvent, a.firstEvent > 0, failure, load)
	if a == s.current {
		s.budgeted.firstFailed()
	}
	switch {
	case a == s.hedge:
		s.budgeted.secondEnded()
		s.countFailure(failure)
		s.hedge = nil
		s.silence.Reset(s.gapTimeout())
		return nil
	case s.hedge != nil:
		s.countFailure(failure)
		s.current, s.hedge = s.hedge, nil
		s.logContinued()
		return nil
	case s.rerun != nil && ctx.Err() == nil:
		s.countFailure(failure)
		s.current = nil
		return nil
	case s.responseStarted && !s.mayGoOn():
		s.countFailure(failure)
		return s.failureOutcome(ctx, failure)
	case !s.mayRetry(ctx, failure, 0):
		return s.failureOutcome(ctx, failure)
	}
	s.current = nil
	if failed := s.rerunStages(ctx); failed != nil {
		return failed
	}
	s.logContinued()
	return s.start(ctx)
}

// rerunStages runs the stages again if their results have been released already.
func (x *execution) rerunStages(ctx context.Context) outcome.Outcome {
	if x.inputs == nil || x.job != nil {
		return nil
	}
	return x.runStages(ctx)
}
