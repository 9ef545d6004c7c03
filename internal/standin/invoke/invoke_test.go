package invoke_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/standin/control"
	"sequoiafork/internal/standin/invoke"
	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/wire/standinapi"
	"sequoiafork/internal/wire/upstreamapi"
)

func newUpstream(faults standinapi.Faults) (*invoke.Upstream, *control.Control) {
	c := control.New(control.Config{})
	c.Faults.Set(faults)
	return invoke.New(invoke.Config{
		Control:     c,
		Kind:        "encoder",
		Capacity:    2,
		MaxQueue:    1,
		ServiceTime: 10 * time.Millisecond,
	}), c
}

func call(ctx context.Context, u *invoke.Upstream, id string, repeatable bool) (*upstreamapi.InvocationResult, error) {
	return u.Invoke(ctx, &upstreamapi.Invocation{
		AttemptID:  id,
		RequestID:  "r",
		Stage:      "encode",
		Input:      id,
		Repeatable: upstreamapi.NewOptBool(repeatable),
	})
}

func TestOutputMatchesOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, c := newUpstream(standinapi.Faults{})
		got, err := call(t.Context(), u, "a", true)
		require.NoError(t, err)
		require.Equal(t, "a", got.AttemptID)
		require.Equal(t, oracle.Output("encoder", "encode", "a"), got.Output)
		require.Len(t, got.Output, got.OutputBytes)
		entry := c.Ledger.Snapshot().Entries[0]
		require.True(t, entry.Completed)
		require.InDelta(t, 10, entry.ServiceMs, 1.1)
	})
}

func TestDisconnectCancelsOnlyIdempotentCalls(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			u, c := newUpstream(standinapi.Faults{})
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_, err := call(ctx, u, "a", repeatable)
			require.Equal(t, repeatable, err != nil)
			require.Equal(t, !repeatable, c.Ledger.Snapshot().Entries[0].Completed)
		})
	}
}

func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, c := newUpstream(standinapi.Faults{})
		results := callAll(t, u, 4)
		rejected := 0
		for _, r := range results {
			if r == nil {
				rejected++
			}
		}
		require.Equal(t, 1, rejected)
		require.Len(t, c.Ledger.Snapshot().Entries, 3)
	})
}

func TestResultsAreSwappedInPairs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, _ := newUpstream(standinapi.Faults{
			SwapAnswers: standinapi.NewOptBool(true),
		})
		results := callAll(t, u, 2)
		require.Equal(t, "a1", results[0].AttemptID)
		require.Equal(t, "a0", results[1].AttemptID)
		alone, err := call(t.Context(), u, "b", true)
		require.NoError(t, err)
		require.Equal(t, "b", alone.AttemptID)
	})
}

func TestFaultyResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, c := newUpstream(standinapi.Faults{
			WrongAttemptIds: standinapi.NewOptInt(1),
			ShortOutputs:    standinapi.NewOptInt(1),
		})
		wrong, err := call(t.Context(), u, "a", true)
		require.NoError(t, err)
		require.NotEqual(t, "a", wrong.AttemptID)
		require.Len(t, wrong.Output, wrong.OutputBytes-1)
		c.Faults.Set(standinapi.Faults{
			Leaving: standinapi.NewOptBool(true),
		})
		_, err = call(t.Context(), u, "b", true)
		require.ErrorContains(t, err, "leaving")
		require.Len(t, c.Ledger.Snapshot().Entries, 1)
	})
}

func callAll(t *testing.T, u *invoke.Upstream, n int) []*upstreamapi.InvocationResult {
	results := make([]*upstreamapi.InvocationResult, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			results[i], _ = call(t.Context(), u, fmt.Sprintf("a%d", i), true)
		})
	}
	wg.Wait()
	return results
}
