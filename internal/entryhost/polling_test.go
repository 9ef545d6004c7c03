package entryhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All daemons together read the routes about every tableWaitEach, up to forty of them,
// and a few daemons see a change of which no read is woken within two seconds.
func TestTableWait(t *testing.T) {
	const draws = 2000
	for daemons := 1; daemons <= 40; daemons++ {
		var sum time.Duration
		for range draws {
			wait := tableWait(daemons)
			require.GreaterOrEqual(t, wait, readWait)
			require.LessOrEqual(t, wait, tableWaitMost)
			sum += wait
		}
		perSecond := float64(daemons) * draws / sum.Seconds()
		require.LessOrEqual(t, perSecond, 1.2/tableWaitEach.Seconds(), "%d daemons", daemons)
	}
	for daemons := 1; daemons <= 6; daemons++ {
		require.Equal(t, readWait, tableWait(daemons))
	}
}

func TestRetryPause(t *testing.T) {
	var h Daemon
	for failures := range 100 {
		pause := h.RetryBackoff(failures)
		require.GreaterOrEqual(t, pause, retryPause/2)
		require.LessOrEqual(t, pause, retryPauseMost)
	}
}
