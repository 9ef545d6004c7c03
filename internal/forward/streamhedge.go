package forward

import (
	"context"
	"time"

	"sequoiafork/internal/pipeline"
)

// keep makes an attempt that has received an event the only one.
func (s *streamRun) keep(a *streamAttempt) {
	s.abandonRerun()
	s.releaseJob()
	switch {
	case s.hedge == nil:
	case a == s.current:
		s.abandonHedge()
	default:
		s.replaceCurrent()
	}
}

// abandonHedge ends the second attempt.
func (s *streamRun) abandonHedge() {
	a := s.hedge
	s.hedge = nil
	a.cancel(errHedgeNotNeeded)
	s.budgeted.secondEnded()
	failure := &pipeline.CallError{
		Addr:      a.choice.Addr,
		Execution: callError(a.choice, <-a.ended).Execution,
		Err:       errHedgeNotNeeded,
	}
	if failure.Execution == pipeline.NotSent {
		s.retryBudget().Return()
	}
	s.countFailure(failure)
	s.report(a, failure)
}

// replaceCurrent ends the silent attempt, and goes on with the second one.
func (s *streamRun) replaceCurrent() {
	a := s.current
	s.current = s.hedge
	s.hedge = nil
	failure := s.replacedError(a)
	a.cancel(failure)
	s.budgeted.secondWon()
	s.countFailure(failure)
	s.report(a, failure)
	s.logContinued()
}

// replacedError returns the error of an attempt that the second one replaces.
func (s *streamRun) replacedError(a *streamAttempt) *pipeline.CallError {
	if s.budgeted.active() {
		return mayHaveRun(a.choice, errSecondFaster)
	}
	failure := mayHaveRun(a.choice, &silenceError{
		silent: time.Since(a.lastReceived),
		events: a.firstEvent > 0,
	})
	failure.TimedOut = true
	return failure
}

// onHedgeDue makes the second attempt of a stream that has not begun if it is worth its work. Stages don't run again for
// it.
func (s *streamRun) onHedgeDue(ctx context.Context) {
	if s.current == nil || s.hedge != nil || s.rerun != nil || s.responseStarted || s.rejections > maxRejections {
		return
	}
	if s.attempts+1 >= s.route.MaxAttempts || s.inputs != nil && s.job == nil {
		return
	}
	if choice, ok := s.budgeted.pick(); ok {
		s.hedge = s.attemptStream(ctx, choice)
	}
}
