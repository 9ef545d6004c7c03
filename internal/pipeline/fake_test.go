package pipeline_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"sequoiafork/internal/admission"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/stagetime"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// behaviour determines how a fake upstream responds to one call. dropBefore and dropAfter
// lose the connection before and after the call is executed.
type behaviour int

const (
	behaveWell behaviour = iota
	behaveSlowly
	neverRespond
	refuseConnection
	rejectLeaving
	rejectOverloaded
	dropBefore
	dropAfter
	respondFailed
	truncateStream
	behaviourCount
)

// execution is one call that a fake upstream executed.
type execution struct {
	requestID string
	stage     string
	attemptID string
	// failed means that the upstream responded that the call ran and failed.
	failed bool
}

// fakeUpstreams responds to calls according to its script and keeps a ledger of the calls
// that were executed, which is the oracle of these tests. callsByAttempt counts calls by attempt ID.
type fakeUpstreams struct {
	mu             sync.Mutex
	script         func() behaviour
	ledger         []execution
	callsByAttempt map[string]int
}

func (f *fakeUpstreams) record(c pipeline.Call, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger = append(f.ledger, execution{
		requestID: c.RequestID,
		stage:     c.Stage.Name,
		attemptID: c.AttemptID,
		failed:    failed,
	})
}

// executions counts the ledger's entries of a request, and of one stage if given.
func (f *fakeUpstreams) executions(requestID, stage string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.ledger {
		if e.requestID == requestID && (stage == "" || e.stage == stage) {
			n++
		}
	}
	return n
}

// effects counts the executions of a stage that did not end in failure.
func (f *fakeUpstreams) effects(requestID, stage string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.ledger {
		if e.requestID == requestID && e.stage == stage && !e.failed {
			n++
		}
	}
	return n
}

func (f *fakeUpstreams) next(attemptID string) behaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.callsByAttempt == nil {
		f.callsByAttempt = make(map[string]int)
	}
	f.callsByAttempt[attemptID]++
	return f.script()
}

func (f *fakeUpstreams) Invoke(ctx context.Context, c pipeline.Call) (pipeline.Reply, error) {
	b := f.next(c.AttemptID)
	switch b {
	case refuseConnection:
		return pipeline.Reply{}, callError(c, pipeline.NotSent)
	case rejectLeaving:
		return pipeline.Reply{}, callError(c, pipeline.RefusedLeaving)
	case rejectOverloaded:
		return pipeline.Reply{}, callError(c, pipeline.Refused)
	case dropBefore:
		return pipeline.Reply{}, callError(c, pipeline.MayHaveRun)
	}
	f.record(c, b == respondFailed)
	switch b {
	case respondFailed:
		return pipeline.Reply{}, callError(c, pipeline.RanAndFailed)
	case dropAfter:
		return pipeline.Reply{}, callError(c, pipeline.MayHaveRun)
	case neverRespond:
		<-ctx.Done()
		return pipeline.Reply{}, contextError(ctx, c)
	case behaveSlowly:
		return f.respond(ctx, c, 3*time.Second, false)
	case truncateStream:
		return f.respond(ctx, c, 10*time.Millisecond, c.OnToken != nil)
	}
	return f.respond(ctx, c, 10*time.Millisecond, false)
}

func (f *fakeUpstreams) respond(ctx context.Context, c pipeline.Call, takes time.Duration, truncate bool) (pipeline.Reply, error) {
	select {
	case <-time.After(takes):
	case <-ctx.Done():
		return pipeline.Reply{}, contextError(ctx, c)
	}
	out := output(c.Stage.Name, c.Input)
	if c.OnToken != nil {
		tokens := strings.SplitAfter(out, "(")
		for i, token := range tokens {
			if truncate && i == len(tokens)-1 {
				return pipeline.Reply{}, callError(c, pipeline.MayHaveRun)
			}
			c.OnToken(i, token)
		}
	}
	return pipeline.Reply{
		Output: out,
	}, nil
}

// output returns the output of a stage, which depends only on the stage and its input.
func output(stage, input string) string {
	return stage + "(" + input + ")"
}

func callError(c pipeline.Call, status pipeline.ExecutionStatus) error {
	return &pipeline.CallError{
		Addr:      c.Addr,
		Execution: status,
		Err:       errors.New("scripted"),
	}
}

func contextError(ctx context.Context, c pipeline.Call) error {
	return &pipeline.CallError{
		Addr:      c.Addr,
		Execution: pipeline.MayHaveRun,
		TimedOut:  errors.Is(ctx.Err(), context.DeadlineExceeded),
		Err:       ctx.Err(),
	}
}

const upstreamsPerPool = 3

// newExecutor returns an executor over one pool for each stage of every route, and
// the tables that hold the routes.
func newExecutor(f *fakeUpstreams, routes ...table.Route) (*pipeline.Executor, *table.Tables) {
	tables := &table.Tables{}
	set := upstream.New(upstream.Config{
		Self: "test",
	})
	var hosts []upstream.Host
	revision := uint64(0)
	for _, route := range routes {
		for i, st := range route.Stages {
			kind := table.KindService
			if st.Model != "" {
				kind = table.KindEngine
			}
			revision++
			tables = tables.WithChange(table.SetPool{
				Pool: table.Pool{
					Name:        st.Pool,
					Kind:        kind,
					Service:     st.Pool,
					Concurrency: 8,
				},
			}, revision)
			for n := range upstreamsPerPool {
				hosts = append(hosts, upstream.Host{
					Addr:    fmt.Sprintf("10.0.%d.%d:80", i, n),
					Service: st.Pool,
				})
			}
		}
		revision++
		tables = tables.WithChange(table.SetRoute{
			Route: route,
		}, revision)
	}
	set.Replace(hosts)
	return pipeline.New(pipeline.Config{
		Engines:   f,
		Services:  f,
		Upstreams: set,
		Admission: admission.New(admission.Config{}),
		Times:     stagetime.New(stagetime.Config{}),
	}), tables
}
