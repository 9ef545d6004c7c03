package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/wire/standinapi"
)

const (
	// maxNoticeDelay bounds how long a draining upstream may still get new work, after
	// any daemon has first observed that it drains.
	maxNoticeDelay = 3 * time.Second
	// loadTime is how long the daemons send requests after that.
	loadTime = 2 * time.Second
)

// TestLeavingUpstreamGetsNoWork checks that all daemons stop sending to two upstreams
// once one daemon has observed that they drain. The host list lists both as live during
// the whole test, as if it lagged by a minute. The upstreams then run calls although they
// still leave, so that their ledgers record any daemon that still sends some.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	c := startCluster(t, config{})
	leaving := []*standin{c.upstreams["encoder"][0], c.upstreams[oracle.EngineKind][0]}
	for _, u := range leaving {
		u.setFaults(t, standinapi.Faults{
			Leaving: standinapi.NewOptBool(true),
		})
	}
	observed := time.Now()
	c.sendLoad(t, "sign", maxNoticeDelay/3, 0)
	for _, u := range leaving {
		u.setFaults(t, standinapi.Faults{
			LeavingInLoad: standinapi.NewOptBool(true),
		})
	}
	time.Sleep(time.Until(observed.Add(maxNoticeDelay)))
	c.sendLoad(t, "after", loadTime, 0, 1, 2)
	for _, u := range leaving {
		for _, e := range u.ledger(t) {
			require.Less(t, e.TimeMs, observed.Add(maxNoticeDelay).UnixMilli(), "work for %s, which drains: %s", u.addr, e.AttemptID)
		}
	}
	c.check(t)
}

// TestLeavingUpstreamOfDaemonWithoutPeers checks the same for a daemon that has no peers
// and whose host list lists the upstream as live during the whole test.
func TestLeavingUpstreamOfDaemonWithoutPeers(t *testing.T) {
	c := startCluster(t, config{
		daemons: 1,
	})
	u := c.upstreams["encoder"][0]
	u.setFaults(t, standinapi.Faults{
		Leaving: standinapi.NewOptBool(true),
	})
	c.sendLoad(t, "sign", maxNoticeDelay/3, 0)
	observed := time.Now()
	u.setFaults(t, standinapi.Faults{
		LeavingInLoad: standinapi.NewOptBool(true),
	})
	c.sendLoad(t, "after", loadTime, 0)
	for _, e := range u.ledger(t) {
		require.Less(t, e.TimeMs, observed.UnixMilli(), "work for %s, which drains: %s", u.addr, e.AttemptID)
	}
	c.check(t)
}

// TestUpstreamRestartedInPlaceGetsWorkAgain checks that an upstream that said that it leaves and
// was then restarted at its address between two reads of the host list gets work again: the list
// shows it as live throughout, so only the upstream itself can tell.
func TestUpstreamRestartedInPlaceGetsWorkAgain(t *testing.T) {
	c := startCluster(t, config{})
	for _, u := range c.upstreams["encoder"] {
		u.setFaults(t, standinapi.Faults{
			Leaving: standinapi.NewOptBool(true),
		})
	}
	n := 0
	ask := func() {
		n++
		c.do(t.Context(), call{
			daemon: n % len(c.daemons),
			route:  orderRoute,
			input:  fmt.Sprintf("restart %d", n),
		})
	}
	for range 20 {
		ask()
	}
	for _, u := range c.upstreams["encoder"] {
		u.setFaults(t, standinapi.Faults{})
	}
	const recovery = 15 * time.Second
	require.Eventually(t, func() bool {
		ask()
		for _, u := range c.upstreams["encoder"] {
			if len(u.ledger(t)) == 0 {
				return false
			}
		}
		return true
	}, recovery, 50*time.Millisecond, "both encoders run calls again")
	c.check(t)
}

// TestLeavingEngineFinishesItsStream checks that an engine that begins to drain while it
// streams completes the stream.
func TestLeavingEngineFinishesItsStream(t *testing.T) {
	c := startCluster(t, config{
		upstreams:  1,
		engineArgs: []string{"-service-ms", "100"},
	})
	done := make(chan callResult)
	go func() {
		done <- c.stream(t.Context(), call{
			route: orderRoute,
			input: "stays open",
		})
	}()
	engine := c.upstreams[oracle.EngineKind][0]
	require.Eventually(t, func() bool { return len(engine.ledger(t)) == 1 }, startTimeout, 5*time.Millisecond)
	engine.setFaults(t, standinapi.Faults{
		Leaving: standinapi.NewOptBool(true),
	})
	r := <-done
	require.Equal(t, answered, r.outcome, r)
	require.Len(t, engine.ledger(t), 1)
}

// sendLoad sends requests through each of the daemons for the given time and requires
// that all are answered.
func (c *cluster) sendLoad(t *testing.T, name string, length time.Duration, daemons ...int) {
	t.Helper()
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for _, d := range daemons {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				r := c.do(t.Context(), call{
					daemon: d,
					route:  orderRoute,
					input:  fmt.Sprintf("%s %d %d", name, d, n),
				})
				if r.outcome != answered {
					t.Errorf("not answered: %s", r)
				}
			}
		})
	}
	wg.Wait()
}
