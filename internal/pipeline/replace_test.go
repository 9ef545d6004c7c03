package pipeline_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/admission"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/stagetime"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// stuckFirst never responds to the first call and responds to all others at once.
type stuckFirst struct {
	mu    sync.Mutex
	calls []string
	held  time.Duration
}

func (s *stuckFirst) Invoke(ctx context.Context, c pipeline.Call) (pipeline.Reply, error) {
	if s.count(c.Addr) > 1 {
		return pipeline.Reply{
			Output: "out",
		}, nil
	}
	began := time.Now()
	<-ctx.Done()
	s.held = time.Since(began)
	return pipeline.Reply{}, &pipeline.CallError{
		Addr:      c.Addr,
		Execution: pipeline.MayHaveRun,
		Err:       ctx.Err(),
	}
}

// count records a call and returns the number of calls so far.
func (s *stuckFirst) count(addr string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, addr)
	return len(s.calls)
}

// TestEjectionReplacesCall guards against upstream seconds lost on a slow upstream: once it
// is ejected, a call that runs there must not wait until a hedge has answered, but be
// cancelled and repeated elsewhere at once. A call that may not be repeated must stay.
func TestEjectionReplacesCall(t *testing.T) {
	const (
		usualTime  = time.Second
		ejectAfter = 200 * time.Millisecond
		deadline   = 3 * time.Second
	)
	play := func(t *testing.T, nonIdempotent bool) (*stuckFirst, outcome.Outcome, time.Duration) {
		st := table.Stage{
			Name:          "generate",
			Pool:          "p",
			NonIdempotent: nonIdempotent,
		}
		tables := table.New().WithChange(table.SetPool{
			Pool: table.Pool{
				Name:        "p",
				Service:     "p",
				Concurrency: 4,
			},
		}, 1)
		set := upstream.New(upstream.Config{})
		set.Replace([]upstream.Host{
			{Addr: "a", Service: "p"},
			{Addr: "b", Service: "p"},
			{Addr: "c", Service: "p"},
		})
		times := stagetime.New(stagetime.Config{})
		for range 100 {
			times.Observe("p", usualTime)
		}
		calls := &stuckFirst{}
		e := pipeline.New(pipeline.Config{
			Engines:    calls,
			Services:   calls,
			Upstreams:  set,
			Admission:  admission.New(admission.Config{}),
			Times:      times,
			MaxOverrun: time.Second,
		})
		began := time.Now()
		time.AfterFunc(ejectAfter, func() {
			calls.mu.Lock()
			addr := calls.calls[0]
			calls.mu.Unlock()
			set.OverrideState(addr, upstream.Suspect, "a peer says so")
		})
		o, _ := e.Run(context.Background(), pipeline.Request{
			ID: "r",
			Route: table.Route{
				Name:   "r",
				Stages: []table.Stage{st},
			},
			Tables:   tables,
			Deadline: began.Add(deadline),
		})
		took := time.Since(began)
		time.Sleep(time.Minute)
		synctest.Wait()
		return calls, o, took
	}
	t.Run("repeatable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			calls, o, took := play(t, false)
			require.IsType(t, outcome.Answered{}, o)
			require.Equal(t, ejectAfter, took)
			require.Equal(t, ejectAfter, calls.held)
			require.Len(t, calls.calls, 2)
			require.NotEqual(t, calls.calls[0], calls.calls[1])
		})
	})
	t.Run("not repeatable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			calls, o, took := play(t, true)
			require.IsType(t, outcome.Unknown{}, o)
			require.Equal(t, deadline, took)
			require.Len(t, calls.calls, 1)
		})
	})
}
