package upstream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

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
