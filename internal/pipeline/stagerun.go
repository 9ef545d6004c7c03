package pipeline

import (
	"context"
	"errors"
	"time"

	"sequoiafork/internal/admission"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// overSharePenalty is longer than any deadline.
const overSharePenalty = 24 * time.Hour

// stageRun is one stage of one request while its attempts go on.
type stageRun struct {
	*execution
	index       int
	stage       table.Stage
	pool        *table.Pool
	input       string
	laterStages time.Duration
	slot        *admission.Slot
	splicer     *splicer

	tried    []string
	attempts int
	winner   string
}

// result is the end of one attempt.
type result struct {
	addr  string
	reply Reply
	err   error
}

func (r *stageRun) do(ctx context.Context) (Reply, error) {
	b := r.executor.budget(r.pool.Name)
	b.Deposit()
	for {
		reply, err := r.attempt(ctx)
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil || r.attempts >= r.executor.cfg.MaxAttempts || !r.mayRetry(err) {
			return Reply{}, err
		}
		observeRetry(r.pool.Name)
	}
}

// mayRetry reports whether another attempt is allowed after err. A call that
// certainly did not reach an upstream costs nothing to repeat; any other draws on
// the pool's budget.
func (r *stageRun) mayRetry(err error) bool {
	var call *CallError
	if !errors.As(err, &call) {
		return false
	}
	if r.stage.NonIdempotent {
		return call.Execution == NotSent
	}
	if call.Execution == NotSent || call.Execution == RefusedLeaving {
		return true
	}
	return r.executor.budget(r.pool.Name).Withdraw()
}

// attempt runs one attempt, and a hedge beside it when it takes longer than the
// stage's recent times and the stage may be repeated.
func (r *stageRun) attempt(ctx context.Context) (Reply, error) {
	ctx, cancel := r.attemptContext(ctx)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return Reply{}, err
	}
	first, err := r.pick()
	if err != nil {
		return Reply{}, err
	}
	delay, hedge := r.hedgeDelay()
	if !hedge {
		return r.recordWinner(r.call(ctx, first))
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	h := r.startHedge(ctx, delay, cancelFirst)
	res := r.call(firstCtx, first)
	if second, ran := h.stop(res.err == nil); ran && res.err != nil {
		res = second
	}
	return r.recordWinner(res)
}

func (r *stageRun) recordWinner(res result) (Reply, error) {
	if res.err != nil {
		return Reply{}, res.err
	}
	r.winner = res.addr
	return res.reply, nil
}

// attemptContext bounds one attempt. A call that may not be repeated is bounded
// only by the end of the whole execution.
func (r *stageRun) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.stage.NonIdempotent {
		return context.WithCancel(ctx)
	}
	limit := time.Until(r.req.Deadline) - r.laterStages
	if r.stage.Timeout > 0 {
		limit = min(limit, r.stage.Timeout)
	}
	return context.WithTimeout(ctx, limit)
}

func (r *stageRun) hedgeDelay() (time.Duration, bool) {
	if r.executor.cfg.NoHedge || r.stage.NonIdempotent || r.splicer != nil {
		return 0, false
	}
	return r.executor.cfg.Times.Quantile(timeKey(r.stage), r.executor.cfg.HedgeQuantile)
}

// target is an upstream that was picked for an attempt with the attempt's id.
type target struct {
	choice upstream.Choice
	id     string
}

// pick chooses an upstream that this stage has not tried, or any if all were.
func (r *stageRun) pick() (target, error) {
	req := upstream.Request{
		Pool:    r.pool,
		Exclude: r.tried,
	}
	if r.pool.Kind == table.KindEngine {
		req.Affinity = prefixHash(r.req.Workspace, r.stage.Model, r.input)
	}
	choice, err := r.executor.cfg.Upstreams.Pick(req)
	if err != nil && len(r.tried) > 0 {
		req.Exclude = nil
		choice, err = r.executor.cfg.Upstreams.Pick(req)
	}
	if err != nil {
		return target{}, err
	}
	r.tried = append(r.tried, choice.Addr)
	r.attempts++
	return target{
		choice: choice,
		id:     ident.AttemptID(r.req.ID, r.index, r.attempts),
	}, nil
}

// priority orders the engines' work by slack, that of workspaces which have more
// than their fair share of the pool behind all other.
func (r *stageRun) priority(remaining time.Duration) int {
	slack := remaining - r.laterStages
	if r.slot.OverFairShare() {
		slack += overSharePenalty
	}
	return int(slack.Milliseconds())
}

func (r *stageRun) call(ctx context.Context, t target) result {
	began := time.Now()
	remaining := time.Until(r.req.Deadline)
	c := Call{
		Addr:      t.choice.Addr,
		AttemptID: t.id,
		RequestID: r.req.ID,
		Workspace: r.req.Workspace,
		Stage:     r.stage,
		Kind:      r.pool.Kind,
		Input:     r.input,
		Remaining: remaining,
		Priority:  r.priority(remaining),
	}
	if r.splicer != nil {
		c.OnToken = r.splicer.begin()
	}
	r.executed.Add(1)
	reply, err := r.executor.invoker(r.pool.Kind).Invoke(ctx, c)
	took := time.Since(began)
	if err != nil {
		err = r.recordFailure(t, err, took)
	} else {
		err = r.recordSuccess(t, reply, took)
	}
	return result{
		addr:  t.choice.Addr,
		reply: reply,
		err:   err,
	}
}

func (r *stageRun) recordSuccess(t target, reply Reply, took time.Duration) error {
	t.choice.Done(upstream.Result{
		Outcome: upstream.OK,
		Latency: took,
		Load:    reply.Load,
	})
	r.executor.cfg.Times.Observe(timeKey(r.stage), took)
	observeAttempt(r.pool.Name, "ok", took)
	if r.splicer != nil {
		return r.splicer.err()
	}
	return nil
}

// recordFailure records a failed attempt with the upstream's state and returns the error
// that decides about a retry.
func (r *stageRun) recordFailure(t target, err error, took time.Duration) error {
	var call *CallError
	if !errors.As(err, &call) {
		call = &CallError{
			Addr:      t.choice.Addr,
			Execution: MayHaveRun,
			Err:       err,
		}
	}
	if !call.executed() {
		r.executed.Add(-1)
	}
	res := upstream.Result{
		Outcome: upstream.Failed,
		Latency: took,
	}
	switch {
	case errors.Is(call.Err, context.Canceled):
		res.Outcome = upstream.Cancelled
	case call.TimedOut:
		res.Outcome = upstream.TimedOut
	case call.Execution == RefusedLeaving:
		res.Outcome = upstream.RefusedLeaving
	case call.Execution == NotSent:
		res.Outcome = upstream.ConnectFailed
	case call.Execution == Refused:
		res.Outcome = upstream.Overloaded
	}
	t.choice.Done(res)
	observeAttempt(r.pool.Name, outcomeLabel(call), took)
	if r.splicer != nil && r.splicer.err() != nil {
		return r.splicer.err()
	}
	return call
}

func outcomeLabel(e *CallError) string {
	switch e.Execution {
	case NotSent:
		return "not_sent"
	case RefusedLeaving:
		return "leaving"
	case Refused:
		return "refused"
	case RanAndFailed:
		return "failed"
	case MayHaveRun:
	}
	if e.TimedOut {
		return "timed_out"
	}
	return "broken"
}
