package pipeline

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sequoiafork/internal/admission"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// requestRun is one run of one request.
type requestRun struct {
	executor *Executor
	req      Request
	cancel   context.CancelFunc
	// callerGone reports whether the caller has disconnected.
	callerGone func() bool

	// executed counts the attempts that an upstream may have executed.
	executed atomic.Int64
	// attempts is not used: each stageRun counts its own attempts.
	attempts atomic.Int64
	// lastNonIdempotent is the name of the last non-idempotent stage that completed.
	lastNonIdempotent string
	reports           []outcome.StageReport

	mu    sync.Mutex
	phase phase
}

// phase resolves the race between the deadline and the first non-idempotent call.
type phase int

const (
	phaseOpen phase = iota
	// phaseCommitted means that a non-idempotent call may have been sent.
	phaseCommitted
	// phaseAbandoned means that no non-idempotent call may be sent any more.
	phaseAbandoned
)

// commit allows non-idempotent calls. It returns false once the request has been
// abandoned or its deadline has passed, for example while this process was suspended.
func (rr *requestRun) commit() bool {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	if rr.phase == phaseCommitted {
		return true
	}
	if rr.phase == phaseAbandoned || !time.Now().Before(rr.req.Deadline) {
		rr.phase = phaseAbandoned
		return false
	}
	rr.phase = phaseCommitted
	time.AfterFunc(time.Until(rr.req.Deadline)+rr.executor.cfg.MaxOverrun, rr.cancel)
	return true
}

// abandon prevents any non-idempotent call. It returns false once such a call may
// have been sent.
func (rr *requestRun) abandon() bool {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	if rr.phase == phaseCommitted {
		return false
	}
	rr.phase = phaseAbandoned
	return true
}

func (rr *requestRun) run(ctx context.Context) outcome.Outcome {
	if st, err := rr.checkAdmission(); err != nil {
		return rr.errorOutcome(ctx, st, err)
	}
	input := rr.req.Input
	for i, st := range rr.req.Route.Stages {
		pool, ok := rr.req.Tables.Pool(st.Pool)
		if !ok {
			return rr.failureOutcome(st, outcome.CodeNoUpstream, fmt.Sprintf("pool %s does not exist", st.Pool), 0)
		}
		output, err := rr.stage(ctx, i, st, &pool.Value, input)
		if err != nil {
			return rr.errorOutcome(ctx, st, err)
		}
		input = output
		if st.NonIdempotent {
			rr.lastNonIdempotent = st.Name
		}
	}
	return outcome.Answered{
		RequestID: rr.req.ID,
		Output:    input,
		Stages:    rr.reports,
	}
}

// checkAdmission returns the first of the later stages whose pool would reject the
// request now, and the error, so that the request fails before any stage runs.
func (rr *requestRun) checkAdmission() (table.Stage, error) {
	for i, st := range rr.req.Route.Stages {
		pool, ok := rr.req.Tables.Pool(st.Pool)
		if !ok || i == 0 {
			continue
		}
		if err := rr.executor.cfg.Admission.Check(rr.admission(i, &pool.Value)); err != nil {
			return st, err
		}
	}
	return table.Stage{}, nil
}

// admission returns the admission request for a stage.
func (rr *requestRun) admission(index int, pool *table.Pool) admission.Request {
	stages := rr.req.Route.Stages
	laterStagesTime := rr.executor.cfg.Times.MinTotalTime(stageKeys(stages[index+1:]))
	return admission.Request{
		Pool:        pool,
		Slots:       rr.executor.slots(pool),
		Workspace:   rr.req.Workspace,
		Deadline:    rr.req.Deadline.Add(-laterStagesTime),
		ServiceTime: rr.executor.typicalTime(stages[index]),
	}
}

// stage returns the output of one stage, from the result cache if the stage is
// cacheable.
func (rr *requestRun) stage(ctx context.Context, index int, st table.Stage, pool *table.Pool, input string) (string, error) {
	began := time.Now()
	report := outcome.StageReport{
		Stage: st.Name,
	}
	run := func() (string, error) { return rr.runStage(ctx, index, st, pool, input, &report) }
	var output string
	var err error
	if st.Cacheable && !st.NonIdempotent {
		output, report.Reused, err = rr.executor.results.do(ctx, resultKeyOf(rr.req.Workspace, st, input), run)
	} else {
		output, err = run()
	}
	if err != nil {
		return "", err
	}
	report.Duration = time.Since(began)
	rr.reports = append(rr.reports, report)
	observeStage(st.Pool, report.Reused)
	return output, nil
}

// runStage waits for admission to a stage's pool and runs the stage there.
func (rr *requestRun) runStage(ctx context.Context, index int, st table.Stage, pool *table.Pool, input string, report *outcome.StageReport) (string, error) {
	laterStagesTime := rr.executor.cfg.Times.MinTotalTime(stageKeys(rr.req.Route.Stages[index+1:]))
	run := &stageRun{
		requestRun:      rr,
		index:           index,
		stage:           st,
		pool:            pool,
		input:           input,
		laterStagesTime: laterStagesTime,
	}
	admitted := rr.admission(index, pool)
	admitted.Granted = run
	slot, err := rr.executor.cfg.Admission.Acquire(ctx, admitted)
	if err != nil {
		return "", err
	}
	run.slot = slot
	defer slot.Release()
	defer run.dropFirst()
	if st.NonIdempotent && !rr.commit() {
		return "", context.DeadlineExceeded
	}
	if rr.req.OnToken != nil && pool.Kind == table.KindEngine && index == len(rr.req.Route.Stages)-1 {
		run.splicer = &splicer{
			emit: rr.req.OnToken,
		}
	}
	reply, err := run.do(ctx)
	report.Upstream = run.winner
	report.Attempts = run.attempts
	return reply.Output, err
}

// errorOutcome returns the outcome for an error that ended a stage.
func (rr *requestRun) errorOutcome(ctx context.Context, st table.Stage, err error) outcome.Outcome {
	var rejected *admission.RejectedError
	var none *upstream.NoUpstreamError
	var call *CallError
	var diverged *DivergedError
	switch {
	case errors.As(err, &rejected):
		return rr.failureOutcome(st, outcome.CodeOverloaded, rejected.Message, rejected.RetryAfter)
	case errors.As(err, &diverged):
		return rr.failureOutcome(st, outcome.CodeStreamDiverged, diverged.Error(), 0)
	case st.NonIdempotent && errors.As(err, &call) && call.Execution == MayHaveRun:
		return outcome.Unknown{
			RequestID: rr.req.ID,
			Code:      outcome.CodeUpstreamBroken,
			Message:   "the call may have run: " + call.Error(),
			Stage:     st.Name,
		}
	case ctx.Err() != nil && rr.callerGone():
		return rr.failureOutcome(st, outcome.CodeCallerGone, "the caller went away", 0)
	case ctx.Err() != nil, errors.Is(err, context.DeadlineExceeded):
		return rr.failureOutcome(st, outcome.CodeDeadlineExceeded, "the deadline passed", time.Second)
	case errors.As(err, &none):
		return rr.failureOutcome(st, outcome.CodeNoUpstream, none.Error(), time.Second)
	case errors.As(err, &call) && call.Execution < MayHaveRun:
		return rr.failureOutcome(st, outcome.CodeNoUpstream, call.Error(), time.Second)
	case errors.As(err, &call) && call.Execution == RanAndFailed:
		return rr.failureOutcome(st, outcome.CodeUpstreamFailed, call.Error(), 0)
	}
	return rr.failureOutcome(st, outcome.CodeUpstreamBroken, err.Error(), time.Second)
}

// failureOutcome returns the outcome of a request that did not complete. It is the only
// function that returns NotRun for a request that had been started, and does so only if
// no attempt may have been executed.
func (rr *requestRun) failureOutcome(st table.Stage, code outcome.Code, message string, retryAfter time.Duration) outcome.Outcome {
	if rr.executed.Load() == 0 && rr.blockFurtherCalls() {
		return outcome.NotRun{
			RequestID:  rr.req.ID,
			Code:       code,
			Message:    message,
			RetryAfter: retryAfter,
		}
	}
	if rr.lastNonIdempotent != "" {
		return outcome.Unknown{
			RequestID: rr.req.ID,
			Code:      outcome.CodePartlyRun,
			Message:   fmt.Sprintf("stage %s ran to its end and stage %s did not (%s): do not send it with a new key", rr.lastNonIdempotent, st.Name, message),
			Stage:     st.Name,
		}
	}
	return outcome.Failed{
		RequestID:  rr.req.ID,
		Code:       code,
		Message:    message,
		Stage:      st.Name,
		RetryAfter: retryAfter,
	}
}

// blockFurtherCalls prevents non-idempotent calls before NotRun is reported. It reports
// whether no attempt may have been executed.
func (rr *requestRun) blockFurtherCalls() bool {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	rr.phase = phaseAbandoned
	return rr.executed.Load() == 0
}
