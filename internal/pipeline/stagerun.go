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

// overSharePenalty is added to the slack of workspaces over their fair share. It is
// longer than any deadline, so that all other work runs first.
const overSharePenalty = 24 * time.Hour

// stageRun runs one stage of one request. laterStagesTime is the minimum time that the
// stages after it take.
type stageRun struct {
	*requestRun
	index           int
	stage           table.Stage
	pool            *table.Pool
	input           string
	laterStagesTime time.Duration
	slot            *admission.Slot
	splicer         *splicer

	// first is the choice that was made when the slot was granted. It is nil once an
	// attempt has taken it.
	first *firstChoice

	tried    []string
	attempts int
	winner   string
}

// firstChoice is the target of the first attempt, or the error of the choice.
type firstChoice struct {
	target target
	err    error
}

// SlotGranted implements admission.GrantObserver. It chooses the upstream of the first
// attempt, so that requests choose in the order in which they get slots.
func (r *stageRun) SlotGranted() {
	t, err := r.pick()
	r.first = &firstChoice{
		target: t,
		err:    err,
	}
}

// nextTarget returns the first choice if no attempt has taken it, or else chooses an
// upstream.
func (r *stageRun) nextTarget() (target, error) {
	if r.first == nil {
		return r.pick()
	}
	first := r.first
	r.first = nil
	return first.target, first.err
}

// dropFirst ends the first choice if no attempt has taken it.
func (r *stageRun) dropFirst() {
	if r.first == nil || r.first.err != nil {
		return
	}
	r.first.target.choice.Done(upstream.Result{
		Outcome: upstream.Cancelled,
	})
	r.first = nil
}

// result is the reply or the error of one attempt.
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

// mayRetry reports whether another attempt is allowed after err. A call that was not
// sent, or was rejected because the upstream is leaving, is repeated without a withdrawal
// from the pool's budget; any other retry withdraws one token. Non-idempotent calls are repeated only if
// they were not sent.
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

// attempt runs one attempt, and a concurrent hedge if the attempt takes longer than
// HedgeQuantile of the stage's recent times and the stage is idempotent.
func (r *stageRun) attempt(ctx context.Context) (Reply, error) {
	ctx, cancel := r.attemptContext(ctx)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return Reply{}, err
	}
	first, err := r.nextTarget()
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
	stopWatch := first.choice.OnEjected(func() { h.replaceFirst(ctx) })
	defer stopWatch()
	res := r.call(firstCtx, first)
	if second, ran := h.stop(res.err == nil); ran && res.err != nil {
		res = second
	}
	return r.recordWinner(res)
}

// recordWinner returns the reply of res, if it has one, and records its upstream.
func (r *stageRun) recordWinner(res result) (Reply, error) {
	if res.err != nil {
		return Reply{}, res.err
	}
	r.winner = res.addr
	return res.reply, nil
}

// attemptContext returns the context of one attempt. It has a timeout unless the call
// is non-idempotent: such a call ends only with the whole request run.
func (r *stageRun) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.stage.NonIdempotent {
		return context.WithCancel(ctx)
	}
	limit := time.Until(r.req.Deadline) - r.laterStagesTime
	if r.stage.Timeout > 0 {
		limit = min(limit, r.stage.Timeout)
	}
	return context.WithTimeout(ctx, limit)
}

// hedgeDelay returns the time after which a hedge starts, and whether hedging applies.
func (r *stageRun) hedgeDelay() (time.Duration, bool) {
	if r.executor.cfg.NoHedge || r.stage.NonIdempotent || r.splicer != nil {
		return 0, false
	}
	return r.executor.cfg.Times.Quantile(timeKey(r.stage), r.executor.cfg.HedgeQuantile)
}

// target is the upstream that was picked for an attempt, with the attempt's ID.
type target struct {
	choice upstream.Choice
	id     string
}

// pick chooses an upstream that this stage has not tried, or any if it has tried all.
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

// priority returns the priority of a call: its slack in milliseconds, with
// overSharePenalty added if the workspace has more than its fair share of the pool.
func (r *stageRun) priority(remaining time.Duration) int {
	slack := remaining - r.laterStagesTime
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

// recordSuccess records a successful attempt and returns an error if its tokens diverged
// from those already forwarded.
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

// recordFailure records a failed attempt in the upstream's state and returns the error
// that determines whether it is retried.
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
