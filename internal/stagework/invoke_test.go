package stagework

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/routing"
)

// panickingInvoker panics at every call to the upstream "bad".
type panickingInvoker struct{}

// Run implements Invoker.
func (panickingInvoker) Run(_ context.Context, u Upstream, items []Item) ([]ItemResult, error) {
	results := make([]ItemResult, len(items))
	for i := range results {
		results[i].Handle = fmt.Sprint(u.Incarnation, i)
	}
	if u.Incarnation == "bad" {
		return results[:0], fmt.Errorf("no result of %s", items[len(items)].RequestID)
	}
	return results, nil
}

// Free implements Invoker.
func (panickingInvoker) Free(context.Context, Upstream, []string) error { panic("fault") }

// FreeMemory implements Invoker.
func (panickingInvoker) FreeMemory(context.Context, Upstream) (int64, error) { panic("fault") }

// TestPanicInACallFailsOnlyTheCall guards against a process that ends because one response of an upstream can't be
// decoded: the scheduler makes its calls in goroutines of their own. The pieces run at another upstream.
func TestPanicInACallFailsOnlyTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{
			Invoker: panickingInvoker{},
		})
		s.SetServices([]routing.Service{
			{
				Name: "w",
				Batch: &routing.BatchSpec{
					Concurrency:       1,
					MaxSize:           1,
					CallOverhead:      10 * time.Millisecond,
					ResultMemoryBytes: 1 << 20,
					ResultLifetime:    4 * time.Second,
				},
			},
		})
		s.SetUpstreams([]Upstream{
			{
				Incarnation: "bad",
				Service:     "w",
			},
			{
				Incarnation: "good",
				Service:     "w",
			},
		})
		submitted, err := s.Submit(pieces("r", 4))
		require.NoError(t, err)
		handles, err := submitted.Wait(t.Context())
		require.NoError(t, err)
		require.Len(t, handles, 4)
		submitted.Release()
		time.Sleep(10 * time.Second)
	})
}

// pieces returns a job of one stage.
func pieces(id string, n int) Job {
	return Job{
		RequestID:    id,
		SoftDeadline: time.Now().Add(5 * time.Second),
		Deadline:     time.Now().Add(10 * time.Second),
		Stages: []Stage{
			{
				Service:     "w",
				Pieces:      n,
				ResultBytes: 1,
			},
		},
	}
}

// TestJobBounds guards against a job of a peer that uses up the memory, which ends the process.
func TestJobBounds(t *testing.T) {
	s := New(Config{
		Invoker: panickingInvoker{},
	})
	many := pieces("r", 1)
	many.Stages = make([]Stage, maxStages+1)
	for _, j := range []Job{
		pieces("r", MaxPieces+1),
		pieces("r", math.MaxInt32),
		pieces("r", -1),
		many,
	} {
		_, err := s.Submit(j)
		var failed *FailedError
		require.ErrorAs(t, err, &failed)
		require.Zero(t, s.Len())
	}
}
