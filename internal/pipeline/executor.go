// Package pipeline runs a request through the stages of its route: it admits the
// request, chooses upstreams, retries and hedges within a budget, enforces the deadline
// and returns an outcome that never reports a request as not run if an attempt may have
// been executed. It does no I/O of its own.
package pipeline

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sequoiafork/internal/admission"
	"sequoiafork/internal/budget"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/stagetime"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// Defaults of Config.
const (
	DefaultMaxAttempts   = 4
	DefaultHedgeQuantile = 0.98
	DefaultMaxOverrun    = 30 * time.Second
	DefaultCacheEntries  = 4096
	DefaultCacheTTL      = 2 * time.Minute
)

// typicalQuantile is the quantile of a stage's recent times that admission uses as the
// stage's service time.
const typicalQuantile = 0.75

// Config configures an Executor. Zero fields mean the defaults; Engines,
// Services, Upstreams, Admission and Times are required.
type Config struct {
	// Engines calls the upstreams of engine pools, Services those of all others.
	Engines  Invoker
	Services Invoker

	Upstreams *upstream.Set
	Admission *admission.Controller
	Times     *stagetime.Tracker
	// Budget configures the retry and hedge budget of each pool.
	Budget budget.Config
	// Daemons returns how many daemons share the pools. Nil means one.
	Daemons func() int

	MaxAttempts   int
	HedgeQuantile float64
	// NoHedge disables hedging.
	NoHedge bool
	// MaxOverrun is how long a non-idempotent call may continue after the
	// deadline of its request.
	MaxOverrun time.Duration
	// CacheEntries and CacheTTL bound the cache of stage results by number of entries
	// and by age.
	CacheEntries int
	CacheTTL     time.Duration
}

// Executor runs requests through their stages. It is safe for concurrent use.
type Executor struct {
	cfg     Config
	budgets sync.Map // pool name to *budget.Budget
	results *resultCache
	daemons atomic.Int64
	active  atomic.Int64
}

// New returns an Executor with the given configuration.
func New(cfg Config) *Executor {
	cfg.MaxAttempts = cmp.Or(cfg.MaxAttempts, DefaultMaxAttempts)
	cfg.HedgeQuantile = cmp.Or(cfg.HedgeQuantile, DefaultHedgeQuantile)
	cfg.MaxOverrun = cmp.Or(cfg.MaxOverrun, DefaultMaxOverrun)
	cfg.CacheEntries = cmp.Or(cfg.CacheEntries, DefaultCacheEntries)
	cfg.CacheTTL = cmp.Or(cfg.CacheTTL, DefaultCacheTTL)
	if cfg.Daemons == nil {
		cfg.Daemons = func() int { return 1 }
	}
	return &Executor{
		cfg:     cfg,
		results: newResultCache(cfg.CacheEntries, cfg.CacheTTL),
	}
}

// Request is one request to run.
type Request struct {
	ID        string
	Workspace string
	Input     string
	Route     table.Route
	Tables    *table.Tables
	Deadline  time.Time
	// OnToken receives the tokens of the last stage if its pool is one of engines.
	OnToken func(index int, text string)
}

// CheckDeadline reports, without running anything, whether req can be expected to finish
// by its deadline. It returns nil if so.
func (e *Executor) CheckDeadline(req Request) *outcome.NotRun {
	remaining := time.Until(req.Deadline)
	if remaining <= 0 {
		return &outcome.NotRun{
			RequestID: req.ID,
			Code:      outcome.CodeDeadlinePast,
			Message:   "the deadline has passed: send a later one",
			Field:     "deadline_ms",
		}
	}
	need := e.cfg.Times.MinTotalTime(stageKeys(req.Route.Stages))
	if need <= remaining {
		return nil
	}
	return &outcome.NotRun{
		RequestID:  req.ID,
		Code:       outcome.CodeDeadlineTooShort,
		Message:    "the stages take " + need.Round(time.Millisecond).String() + " now: allow more time, or come back later",
		Field:      "deadline_ms",
		RetryAfter: need,
	}
}

// Run runs req and returns its outcome by its deadline, or when ctx ends. If a
// non-idempotent call is still in flight then, the outcome is Unknown and the
// channel delivers the final one; otherwise the channel is nil.
func (e *Executor) Run(ctx context.Context, req Request) (outcome.Outcome, <-chan outcome.Outcome) {
	if rejection := e.CheckDeadline(req); rejection != nil {
		return *rejection, nil
	}
	e.active.Add(1)
	if !req.Route.HasNonIdempotentStage() {
		return e.runInline(ctx, req), nil
	}
	return e.runDetached(ctx, req)
}

// runInline runs a request without non-idempotent stages, so that every call can be
// cancelled.
func (e *Executor) runInline(ctx context.Context, req Request) outcome.Outcome {
	defer e.active.Add(-1)
	runCtx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	rr := &requestRun{
		executor:   e,
		req:        req,
		cancel:     cancel,
		callerGone: func() bool { return ctx.Err() != nil },
	}
	return rr.run(runCtx)
}

// runDetached runs a request with a non-idempotent stage. The call of such a stage
// continues after Run has returned.
func (e *Executor) runDetached(ctx context.Context, req Request) (outcome.Outcome, <-chan outcome.Outcome) {
	waitCtx, stopWait := context.WithDeadline(ctx, req.Deadline)
	defer stopWait()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	rr := &requestRun{
		executor:   e,
		req:        req,
		cancel:     cancel,
		callerGone: func() bool { return ctx.Err() != nil },
	}
	done := make(chan outcome.Outcome, 1)
	go func() {
		defer e.active.Add(-1)
		defer cancel()
		done <- rr.run(runCtx)
	}()
	select {
	case o := <-done:
		return o, nil
	case <-waitCtx.Done():
	}
	if rr.abandon() {
		cancel()
		return <-done, nil
	}
	return outcome.Unknown{
		RequestID:  req.ID,
		Code:       outcome.CodeDeadlineExceeded,
		Message:    "a call that may not be repeated is still running: ask for the key again",
		RetryAfter: time.Second,
	}, done
}

// Active returns the number of running requests, including those whose callers have
// disconnected.
func (e *Executor) Active() int {
	return int(e.active.Load())
}

func (e *Executor) budget(pool string) *budget.Budget {
	if b, ok := e.budgets.Load(pool); ok {
		return b.(*budget.Budget)
	}
	b, _ := e.budgets.LoadOrStore(pool, budget.New(e.cfg.Budget))
	return b.(*budget.Budget)
}

func (e *Executor) invoker(kind table.PoolKind) Invoker {
	if kind == table.KindEngine {
		return e.cfg.Engines
	}
	return e.cfg.Services
}

// slots returns the number of calls that this daemon may have open on the pool.
func (e *Executor) slots(pool *table.Pool) int {
	if n := int64(e.cfg.Daemons()); e.daemons.Swap(n) != n {
		e.cfg.Upstreams.SetDaemons(int(n))
	}
	return max(e.cfg.Upstreams.Capacity(pool), 1)
}

// typicalTime returns the typicalQuantile of the stage's recent times, or zero if
// there are none yet.
func (e *Executor) typicalTime(st table.Stage) time.Duration {
	d, _ := e.cfg.Times.Quantile(timeKey(st), typicalQuantile)
	return d
}

func stageKeys(stages []table.Stage) []string {
	keys := make([]string, len(stages))
	for i, s := range stages {
		keys[i] = timeKey(s)
	}
	return keys
}

// timeKey returns the key under which the times of a stage are tracked.
func timeKey(s table.Stage) string {
	if s.Model == "" {
		return s.Pool
	}
	return s.Pool + "/" + s.Model
}
