package engine_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/standin/control"
	"sequoiafork/internal/standin/engine"
	"sequoiafork/internal/wire/standinapi"
	"sequoiafork/internal/wire/upstreamapi"
)

func newEngine(t *testing.T, faults standinapi.Faults) (*engine.Engine, *control.Control) {
	c := control.New(control.Config{})
	c.Faults.Set(faults)
	e := engine.New(engine.Config{
		Control:       c,
		Capacity:      2,
		CacheBlocks:   4,
		Models:        []string{"m"},
		ChecksFencing: true,
	})
	go e.Run(t.Context())
	return e, c
}

func completion(id string) *upstreamapi.Completion {
	return &upstreamapi.Completion{
		Model:     "m",
		Prompt:    strings.Repeat("a shared prefix of many bytes ", 8),
		MaxTokens: upstreamapi.NewOptInt(4),
		Stream:    true,
		RequestID: id,
	}
}

// complete returns the events received before ctx ended.
func complete(ctx context.Context, t *testing.T, e *engine.Engine, req *upstreamapi.Completion) []string {
	w := httptest.NewRecorder()
	require.NoError(t, e.Complete(ctx, req, w))
	return strings.Split(strings.TrimSpace(w.Body.String()), "\n\n")
}

func TestInterruptedStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := newEngine(t, standinapi.Faults{})
		full := complete(t.Context(), t, e, completion("full"))
		require.Len(t, full, 5)
		require.Equal(t, "data: [DONE]", full[4])
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		first := complete(ctx, t, e, completion("interrupted"))
		require.Less(t, len(first), 4)
		again := completion("interrupted")
		again.ResumeFrom = upstreamapi.NewOptInt(len(first))
		rest := complete(t.Context(), t, e, again)
		require.Len(t, append(first, rest...), 5)
		require.Len(t, c.Ledger.Snapshot().Entries, 2)
	})
}

func TestCancelledStreamIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := newEngine(t, standinapi.Faults{})
		time.AfterFunc(5*time.Millisecond, func() {
			_ = e.CancelCompletion(t.Context(), upstreamapi.CancelCompletionParams{
				RequestID: "a",
			})
		})
		events := complete(t.Context(), t, e, completion("a"))
		require.NotContains(t, events, "data: [DONE]")
		require.False(t, c.Ledger.Snapshot().Entries[0].Completed)
		again := completion("a")
		again.ResumeFrom = upstreamapi.NewOptInt(1)
		require.ErrorContains(t, e.Complete(t.Context(), again, httptest.NewRecorder()), "not_found")
	})
}

func TestCachedPrefixShortensPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newEngine(t, standinapi.Faults{})
		first := elapsed(func() { complete(t.Context(), t, e, completion("a")) })
		second := elapsed(func() { complete(t.Context(), t, e, completion("b")) })
		require.Less(t, second, first)
		events, err := e.ListCacheEvents(t.Context(), upstreamapi.ListCacheEventsParams{
			Since: 0,
		})
		require.NoError(t, err)
		require.Len(t, events.Events, 3)
	})
}

func TestCacheEventsLagAndAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := newEngine(t, standinapi.Faults{
			LagMs: standinapi.NewOptInt64(5000),
		})
		complete(t.Context(), t, e, completion("a"))
		list := func() int {
			events, err := e.ListCacheEvents(t.Context(), upstreamapi.ListCacheEventsParams{
				Since: 0,
			})
			require.NoError(t, err)
			return len(events.Events)
		}
		require.Zero(t, list())
		time.Sleep(5 * time.Second)
		require.Equal(t, 3, list())
		c.Faults.Set(standinapi.Faults{
			DropCacheEvents: standinapi.NewOptFloat64(1),
		})
		other := completion("b")
		other.Prompt = strings.Repeat("another prompt", 8)
		complete(t.Context(), t, e, other)
		require.Equal(t, 3, list())
	})
}

func TestStaleFencingTokenIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := newEngine(t, standinapi.Faults{})
		order := func(fencing int64, models ...string) error {
			_, err := e.OrderState(t.Context(), &upstreamapi.EngineOrder{
				Models:  models,
				Fencing: fencing,
			})
			return err
		}
		require.NoError(t, order(7, "m", "n"))
		require.ErrorContains(t, order(6, "m"), "fenced")
		state, err := e.ShowState(t.Context())
		require.NoError(t, err)
		require.Equal(t, []string{"m", "n"}, state.Models)
		require.Len(t, c.Ledger.Snapshot().Entries, 1)
	})
}

func TestLowerPriorityValueRunsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, c := newEngine(t, standinapi.Faults{})
		for i, id := range []string{"running", "low", "middle", "high"} {
			req := completion(id)
			req.Priority = upstreamapi.NewOptInt(-i)
			go func() { _ = e.Complete(t.Context(), req, httptest.NewRecorder()) }()
			synctest.Wait()
		}
		time.Sleep(time.Second)
		var order []string
		for _, entry := range c.Ledger.Snapshot().Entries {
			order = append(order, entry.AttemptID)
		}
		require.Equal(t, []string{"running", "high", "middle", "low"}, order)
	})
}

func elapsed(f func()) time.Duration {
	began := time.Now()
	f()
	return time.Since(began)
}
