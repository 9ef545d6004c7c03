package pipeline

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// TestUnusedChoiceIsReleased guards against upstreams that seem busy for ever: the
// upstream is chosen when the slot is granted, and a request that ends before its first
// attempt must give the choice back.
func TestUnusedChoiceIsReleased(t *testing.T) {
	set := upstream.New(upstream.Config{})
	set.Replace([]upstream.Host{{
		Addr:    "a",
		Service: "s",
	}})
	run := &stageRun{
		requestRun: &requestRun{
			executor: New(Config{
				Upstreams: set,
			}),
		},
		pool: &table.Pool{
			Name:    "s",
			Service: "s",
		},
	}
	run.SlotGranted()
	require.Equal(t, 1, set.Upstreams()[0].InFlight)
	run.dropFirst()
	require.Equal(t, 0, set.Upstreams()[0].InFlight)
	run.dropFirst()
	require.Equal(t, 0, set.Upstreams()[0].InFlight)

	run.SlotGranted()
	_, err := run.nextTarget()
	require.NoError(t, err)
	run.dropFirst()
	require.Equal(t, 1, set.Upstreams()[0].InFlight, "an attempt has taken the choice")
}
