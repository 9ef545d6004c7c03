package membership

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxStartTime is the users' aim for 300 daemons.
	maxStartTime = time.Second
	// maxStartBytes is what half a minute of control may cost a daemon, at 4 KB a second.
	maxStartBytes = 30 * 4 << 10
)

// startCost is what a simultaneous start of all daemons takes.
type startCost struct {
	took      time.Duration
	messages  int // sent by each daemon
	bytes     int
	processor time.Duration // used by each daemon, the harness included
	links     int           // opened by each daemon
}

func measureStart(t *testing.T, n int) startCost {
	var c startCost
	before := processorTime(t)
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			net: &network{
				cuts:     map[[2]int]bool{},
				allSeeds: true,
				fast:     true,
			},
		}
		defer s.end()
		began := time.Now()
		s.startHosts(n, min(n, 10), min(n, 3))
		r := s.within(time.Minute, func() string { return s.disagreement(nil) })
		require.Equal(t, "ok", r)
		c.took = time.Since(began)
		c.messages = s.net.messages / n
		c.bytes = s.net.sent() / n
		c.links = s.net.opened / n
	})
	c.processor = (processorTime(t) - before) / time.Duration(n)
	return c
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestSimultaneousStart starts all daemons at once, as after a loss of power, and bounds the time
// until all know each other, and what it costs each of them.
func TestSimultaneousStart(t *testing.T) {
	for _, n := range []int{30, 100, 341} {
		t.Run(fmt.Sprintf("hosts=%d", n), func(t *testing.T) {
			c := measureStart(t, n)
			require.LessOrEqual(t, c.took, maxStartTime)
			require.LessOrEqual(t, c.bytes, maxStartBytes)
			t.Logf("%d daemons agree after %v; each sends %d messages with %d bytes, opens %d links and uses %v of processor time", n, c.took, c.messages, c.bytes, c.links, c.processor)
		})
	}
}
