package pipeline_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sequoiafork/internal/bubble"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/table"
)

const testDeadline = 4 * time.Second

// orderRoute has a non-idempotent stage in the middle, so that stages can fail before
// and after it.
var orderRoute = table.Route{
	Name:     "order",
	Deadline: testDeadline,
	Stages: []table.Stage{
		{
			Name: "encode",
			Pool: "enc",
		},
		{
			Name:          "commit",
			Pool:          "orders",
			NonIdempotent: true,
		},
		{
			Name:  "generate",
			Pool:  "llm",
			Model: "m",
		},
	},
}

func expected(route table.Route, input string) string {
	for _, st := range route.Stages {
		input = output(st.Name, input)
	}
	return input
}

// completedRun is a request after all of its calls have ended: the outcome that Run
// returned, the final outcome and the tokens that the caller received.
type completedRun struct {
	id       string
	returned outcome.Outcome
	final    outcome.Outcome
	tokens   []string
}

func runToEnd(e *pipeline.Executor, tables *table.Tables, route table.Route, stream bool) completedRun {
	run := completedRun{
		id: ident.NewRequestID(),
	}
	req := pipeline.Request{
		ID:        run.id,
		Workspace: "w",
		Input:     "in",
		Route:     route,
		Tables:    tables,
		Deadline:  time.Now().Add(route.Deadline),
	}
	if stream {
		req.OnToken = func(_ int, text string) { run.tokens = append(run.tokens, text) }
	}
	o, final := e.Run(context.Background(), req)
	run.returned, run.final = o, o
	if final != nil {
		run.final = <-final
	}
	time.Sleep(2 * pipeline.DefaultMaxOverrun)
	return run
}

// checkOutcomes compares the outcomes that the caller received with the calls that the
// upstreams executed.
func checkOutcomes(t require.TestingT, f *fakeUpstreams, route table.Route, got completedRun) {
	for _, st := range route.Stages {
		if st.NonIdempotent {
			require.LessOrEqual(t, f.executions(got.id, st.Name), 1, "executions of %s", st.Name)
		}
	}
	for _, o := range []outcome.Outcome{got.returned, got.final} {
		switch o := o.(type) {
		case outcome.Answered:
			require.Equal(t, expected(route, "in"), o.Output)
			for _, st := range route.Stages {
				require.NotZero(t, f.executions(got.id, st.Name), "executions of %s for an answer", st.Name)
			}
		case outcome.NotRun:
			require.Zero(t, f.executions(got.id, ""), "executions of a request reported as not_run (%s)", o.Code)
		case outcome.Failed:
			require.Zero(t, f.effects(got.id, "commit"), "effects of commit in a request reported as failed (%s)", o.Code)
		case outcome.Unknown:
		}
	}
	complete := expected(route, "in")
	require.True(t, strings.HasPrefix(complete, strings.Join(got.tokens, "")), "tokens %q are not a prefix of %q", got.tokens, complete)
}

// TestOutcomesMatchExecutionsUnderFaults checks that no sequence of upstream faults leads to an
// outcome that contradicts what was executed.
func TestOutcomesMatchExecutionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, int(behaviourCount)-1), 0, 24).Draw(rt, "script")
		stream := rapid.Bool().Draw(rt, "stream")
		failed := bubble.Run(t, func(t *bubble.T) { playScript(t, script, stream) })
		if failed != "" {
			rt.Fatal(failed)
		}
	})
}

// playScript runs three requests against upstreams that behave according to script, and
// correctly after its end.
func playScript(t *bubble.T, script []int, stream bool) {
	next := 0
	f := &fakeUpstreams{
		script: func() behaviour {
			if next == len(script) {
				return behaveWell
			}
			next++
			return behaviour(script[next-1])
		},
	}
	e, tables := newExecutor(f, orderRoute)
	for range 3 {
		checkOutcomes(t, f, orderRoute, runToEnd(e, tables, orderRoute, stream))
	}
	require.Zero(t, e.Active())
}

func TestAttemptsHaveDistinctIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		f := &fakeUpstreams{
			script: func() behaviour {
				calls++
				if calls%2 == 1 {
					return dropAfter
				}
				return behaveWell
			},
		}
		route := table.Route{
			Name:     "lookup",
			Deadline: testDeadline,
			Stages:   orderRoute.Stages[:1],
		}
		e, tables := newExecutor(f, route)
		for range 5 {
			runToEnd(e, tables, route, false)
		}
		for id, n := range f.callsByAttempt {
			require.Equal(t, 1, n, "calls with attempt id %s", id)
		}
	})
}

func TestCallerGoneCancelsIdempotentWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeUpstreams{
			script: func() behaviour { return neverRespond },
		}
		e, tables := newExecutor(f, orderRoute)
		ctx, disconnect := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, disconnect)
		began := time.Now()
		o, final := e.Run(ctx, pipeline.Request{
			ID:       ident.NewRequestID(),
			Route:    orderRoute,
			Tables:   tables,
			Deadline: time.Now().Add(testDeadline),
		})
		require.Nil(t, final)
		require.Equal(t, outcome.CodeCallerGone, outcome.CodeOf(o))
		require.Equal(t, time.Second, time.Since(began))
		synctest.Wait()
		require.Zero(t, e.Active())
	})
}

func TestNonIdempotentCallOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		script := []behaviour{behaveWell, behaveSlowly, behaveWell}
		f := &fakeUpstreams{
			script: func() behaviour {
				b := script[0]
				script = script[1:]
				return b
			},
		}
		e, tables := newExecutor(f, orderRoute)
		ctx, disconnect := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, disconnect)
		o, final := e.Run(ctx, pipeline.Request{
			ID:       "r",
			Input:    "in",
			Route:    orderRoute,
			Tables:   tables,
			Deadline: time.Now().Add(testDeadline),
		})
		require.IsType(t, outcome.Unknown{}, o)
		require.IsType(t, outcome.Answered{}, <-final)
		require.Equal(t, 1, f.executions("r", "commit"))
	})
}

func TestRejectedWhenDeadlineHasPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeUpstreams{
			script: func() behaviour { return behaveWell },
		}
		e, tables := newExecutor(f, orderRoute)
		o, _ := e.Run(context.Background(), pipeline.Request{
			ID:       "r",
			Route:    orderRoute,
			Tables:   tables,
			Deadline: time.Now(),
		})
		require.IsType(t, outcome.NotRun{}, o)
		require.Zero(t, f.executions("r", ""))
	})
}
