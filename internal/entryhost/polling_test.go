package entryhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Up to 40 daemons together read the routes at most 1.2 times per routesPollSpacing on
// average. Up to 6 daemons read them often enough to notice a change within two seconds if
// no read is woken.
func TestRoutesPollTimeout(t *testing.T) {
	const draws = 2000
	for daemonCount := 1; daemonCount <= 40; daemonCount++ {
		var sum time.Duration
		for range draws {
			wait := routesPollTimeout(daemonCount)
			require.GreaterOrEqual(t, wait, minPollTimeout)
			require.LessOrEqual(t, wait, maxRoutesPollTimeout)
			sum += wait
		}
		perSecond := float64(daemonCount) * draws / sum.Seconds()
		require.LessOrEqual(t, perSecond, 1.2/routesPollSpacing.Seconds(), "%d daemons", daemonCount)
	}
	for daemonCount := 1; daemonCount <= 6; daemonCount++ {
		require.Equal(t, minPollTimeout, routesPollTimeout(daemonCount))
	}
}

func TestRetryBackoff(t *testing.T) {
	var h Daemon
	for failures := range 100 {
		backoff := h.RetryBackoff(failures)
		require.GreaterOrEqual(t, backoff, initialBackoff/2)
		require.LessOrEqual(t, backoff, maxBackoff)
	}
}

// A reader that sleeps through a record learns of it at the end of its read, pauses, and reads again; a daemon that
// reads from it may be in a pause of its own just then. That an upstream leaves must be known in less than two seconds
// all the same, with any number of data centres.
func TestUpstreamsKnownInTime(t *testing.T) {
	const bound = 2 * time.Second
	for readerCount := 1; readerCount <= 341; readerCount++ {
		longest := minPollTimeout + upstreamsPollInterval(readerCount, true) + upstreamsPollInterval(readerCount, false)
		require.Less(t, longest, bound, "%d data centres", readerCount)
	}
}
