package forward

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRetryBurstFollowsNumberOfDaemons guards against daemons that keep the burst of all others because they started alone.
func TestRetryBurstFollowsNumberOfDaemons(t *testing.T) {
	var daemons atomic.Int64
	daemons.Store(1)
	f := New(Config{
		RetryRatio:  0.2,
		RetryBurst:  28,
		DaemonCount: func() int { return int(daemons.Load()) },
	})
	require.Equal(t, 28, f.budget("s").Balance())
	daemons.Store(4)
	require.LessOrEqual(t, f.budget("s").Balance(), 7)
}
