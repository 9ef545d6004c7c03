package forward

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/budget"
	"sequoiafork/internal/outcome"
)

// onSilence starts a second attempt, after the stages if they have to run again. The retry is withdrawn from
// the budget first, so that stages run only for attempts that will be made.
func (s *streamRun) onSilence(ctx context.Context) {
	if !s.route.Kind.Retryable() || s.responseStarted && !s.mayGoOn() {
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

// retryBudget returns the budget of the request's service.
func (x *execution) retryBudget() *budget.Budget { return x.forwarder.budget(x.service.Name) }

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
