package pollpace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Up to 40 daemons together read the routes at most 1.2 times per routesSpacing on
// average. Up to 6 daemons read them often enough to notice a change within two seconds if
// no read is woken.
func TestRoutesTimeout(t *testing.T) {
	const draws = 2000
	for daemonCount := 1; daemonCount <= 40; daemonCount++ {
		var sum time.Duration
		for range draws {
			wait := RoutesTimeout(daemonCount)
			require.GreaterOrEqual(t, wait, MinTimeout)
			require.LessOrEqual(t, wait, maxRoutesTimeout)
			sum += wait
		}
		perSecond := float64(daemonCount) * draws / sum.Seconds()
		require.LessOrEqual(t, perSecond, 1.2/routesSpacing.Seconds(), "%d daemons", daemonCount)
	}
	for daemonCount := 1; daemonCount <= 6; daemonCount++ {
		require.Equal(t, MinTimeout, RoutesTimeout(daemonCount))
	}
}

func TestRetryBackoff(t *testing.T) {
	for failures := range 100 {
		backoff := RetryBackoff(failures)
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
		longest := MinTimeout + UpstreamsInterval(readerCount, true) + UpstreamsInterval(readerCount, false)
		require.Less(t, longest, bound, "%d data centres", readerCount)
	}
}
