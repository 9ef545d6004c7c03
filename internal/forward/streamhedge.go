package forward

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/outcome"
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

// onSilence starts a second attempt, after the stages if they have to run again. The retry is withdrawn from
// the budget first, so that stages run only for attempts that will be made.
func (s *streamRun) onSilence(ctx context.Context) {
	if !s.route.Kind.Retryable() {
		return
	}
	s.silence.Reset(s.gapTimeout())
	if s.hedge != nil || s.rerun != nil || s.attempts+1 >= s.route.MaxAttempts || s.rejections > maxRejections {
		return
	}
	if !s.retryBudget().Withdraw() {
		return
	}
	if s.inputs != nil && s.job == nil {
		s.rerun = s.startRerun(ctx)
		return
	}
	s.startHedge(ctx)
}

// startHedge starts the second attempt if there is an upstream for it. Otherwise the first continues alone.
func (s *streamRun) startHedge(ctx context.Context) {
	choice, err := s.pickUpstream(0)
	if err != nil {
		s.retryBudget().Return()
		return
	}
	s.forwarder.cfg.Logger.Info("upstream is silent, trying another one as well",
		zap.String("request_id", s.req.ID), zap.String("upstream", s.current.choice.Incarnation), zap.String("second", choice.Incarnation),
		zap.Duration("silent_ms", time.Since(s.current.lastReceived)), zap.Bool("begun", s.responseStarted))
	s.hedge = s.attemptStream(ctx, choice)
	s.silence.Reset(s.firstEventTimeout())
}

// onRerun starts the attempt that has waited for the stages.
func (s *streamRun) onRerun(ctx context.Context, r rerunResult) outcome.Outcome {
	s.rerun = nil
	if r.err != nil {
		s.retryBudget().Return()
		return s.onRerunFailure(ctx, r.err)
	}
	s.job, s.inputs = r.job, r.inputs
	if s.current == nil {
		s.logContinued()
		return s.start(ctx)
	}
	s.startHedge(ctx)
	return nil
}

// onRerunFailure ends the request if there is no attempt that goes on.
func (s *streamRun) onRerunFailure(ctx context.Context, err error) outcome.Outcome {
	if s.current == nil {
		return s.stageFailure(ctx, err)
	}
	s.forwarder.cfg.Logger.Info("no second attempt while the upstream is silent, since the stages can't run again",
		zap.String("request_id", s.req.ID), zap.Error(err))
	return nil
}

// abandonRerun ends the run of the stages that nothing waits for any more.
func (s *streamRun) abandonRerun() {
	if s.rerun == nil {
		return
	}
	s.rerun.abandon()
	s.rerun = nil
	s.retryBudget().Return()
}
