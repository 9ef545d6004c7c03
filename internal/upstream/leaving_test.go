package upstream_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/ratelimit"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

func TestLoadReportOfLeavingUpstream(t *testing.T) {
	var reported []upstream.State
	set := upstream.New(upstream.Config{
		OnStateChange: func(_ string, st upstream.State) { reported = append(reported, st) },
	})
	set.Replace([]upstream.Host{
		{
			Addr:    "10.0.0.1:1",
			Service: "s",
		},
	})
	req := upstream.Request{
		Pool: &table.Pool{
			Name:        "p",
			Service:     "s",
			Concurrency: 1,
		},
	}
	choice, err := set.Pick(req)
	require.NoError(t, err)
	choice.Done(upstream.Result{
		Outcome: upstream.OK,
		Load: &upstream.Load{
			Leaving: true,
		},
	})
	_, err = set.Pick(req)
	var none *upstream.NoUpstreamError
	require.ErrorAs(t, err, &none)
	require.Equal(t, []upstream.State{upstream.Leaving}, reported)
}

// TestNoticesBesideNewHostLists guards against a host that is read while a new host list replaces it: the
// response to one attempt says that the upstream leaves while that of another one does.
func TestNoticesBesideNewHostLists(t *testing.T) {
	const attempts = 50
	hosts := []upstream.Host{
		{
			Addr:        "10.0.0.1:1",
			Incarnation: "i-1",
			Service:     "s",
		},
	}
	var set *upstream.Set
	set = upstream.New(upstream.Config{
		OnLeaving: func(upstream.Host) { set.Replace(hosts) },
		OnLimit:   func(upstream.Host, ratelimit.Limit) { set.Replace(hosts) },
	})
	set.Replace(hosts)
	var callers sync.WaitGroup
	for i := range attempts {
		choice, err := set.Pick(upstream.Request{
			Pool: &table.Pool{
				Service: "s",
			},
			MaxDelay: time.Hour,
		})
		require.NoError(t, err)
		callers.Go(func() {
			choice.Observe(upstream.Notice{
				Leaving:     true,
				RateLimited: true,
				PerSecond:   float64(i + 1),
			})
		})
	}
	callers.Wait()
}
