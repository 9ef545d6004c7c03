package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/operatorapi"
	"sequoiafork/internal/wire/standinapi"
)

// runKeyedCalls runs one request with a chosen key and one with an issued key on the
// first daemon and returns both.
func (c *cluster) runKeyedCalls(t *testing.T) []call {
	t.Helper()
	calls := []call{
		dispatchCall("chosen", "chosen"),
		dispatchCall("issued", c.daemons[0].issueKey(t)),
	}
	for _, req := range calls {
		r := c.do(t.Context(), req)
		require.Equal(t, answered, r.outcome, r)
	}
	return calls
}

// TestRefusalOfKeyThatHasRun resends keys whose requests have run, to daemons that reject
// requests for other reasons. None may report that the request was not run.
func TestRefusalOfKeyThatHasRun(t *testing.T) {
	t.Run("deadline", func(t *testing.T) {
		c := startCluster(t, config{})
		for _, req := range c.runKeyedCalls(t) {
			req.deadline = time.Millisecond
			c.doAll(t.Context(), c.callsToAll(req)...)
		}
		c.check(t)
	})
	t.Run("route deleted", func(t *testing.T) {
		c := startCluster(t, config{})
		keys := c.runKeyedCalls(t)
		row, err := c.daemons[0].operators.ShowRoute(t.Context(), operatorapi.ShowRouteParams{
			Name: dispatchRoute,
		})
		require.NoError(t, err)
		require.NoError(t, accepted(c.daemons[0].operators.DeleteRoute(t.Context(), operatorapi.DeleteRouteParams{
			Name:         dispatchRoute,
			BaseRevision: row.Revision,
		})))
		for _, d := range c.daemons {
			require.Eventually(t, func() bool { return d.hasTables(t, len(routes)-1) }, startTimeout, 20*time.Millisecond)
		}
		for _, req := range keys {
			c.doAll(t.Context(), c.callsToAll(req)...)
		}
		c.check(t)
	})
	t.Run("overloaded", func(t *testing.T) {
		c := startCluster(t, config{
			maxInFlight: 1,
		})
		keys := c.runKeyedCalls(t)
		c.upstreams["encoder"][0].setFaults(t, standinapi.Faults{
			DelayMs: standinapi.NewOptInt64(1000),
		})
		c.upstreams["encoder"][1].setFaults(t, standinapi.Faults{
			DelayMs: standinapi.NewOptInt64(1000),
		})
		for i := range 6 {
			c.startCall(t.Context(), call{
				daemon: i % len(c.daemons),
				route:  orderRoute,
				input:  fmt.Sprintf("filler %d", i),
			})
		}
		time.Sleep(200 * time.Millisecond)
		for _, req := range keys {
			c.doAll(t.Context(), c.callsToAll(req)...)
		}
		c.check(t)
	})
	t.Run("not ready", func(t *testing.T) {
		c := startCluster(t, config{})
		keys := c.runKeyedCalls(t)
		c.log.setFaults(t, standinapi.Faults{
			Down: standinapi.NewOptBool(true),
		})
		c.daemons[0].suspend(t)
		c.daemons[1].kill()
		c.daemons[2].kill()
		c.daemons[1].start(t)
		for _, req := range keys {
			req.daemon = 1
			c.do(t.Context(), req)
		}
		c.check(t)
	})
}

// TestRefusalWhileDraining sends requests to a draining daemon until it has exited.
func TestRefusalWhileDraining(t *testing.T) {
	t.Parallel()
	c := startCluster(t, slowConfig())
	ran := dispatchCall("ran", "ran")
	ran.daemon = 1
	require.Equal(t, answered, c.do(t.Context(), ran).outcome)
	_, err := c.daemons[0].operators.Drain(t.Context())
	require.NoError(t, err)
	for i := 0; ; i++ {
		ran.daemon = 0
		r := c.do(t.Context(), ran)
		c.startCall(t.Context(), dispatchCall(fmt.Sprintf("new %d", i), fmt.Sprintf("new-%d", i)))
		if r.outcome == connectionLost {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(routeDeadline)
	c.check(t)
}

// TestRefusalInFrozenQueue suspends a daemon that has queued and running requests and
// resumes it after their deadlines.
func TestRefusalInFrozenQueue(t *testing.T) {
	c := startCluster(t, config{
		upstreams:  1,
		commitArgs: []string{"-service-ms", "100", "-capacity", "1"},
	})
	var results []<-chan callResult
	for i := range 30 {
		req := dispatchCall(fmt.Sprintf("repair %d", i), "")
		if i%2 == 0 {
			req.key = fmt.Sprintf("key-%d", i)
		}
		req.deadline = time.Duration(200+50*i) * time.Millisecond
		results = append(results, c.startCall(t.Context(), req))
	}
	time.Sleep(250 * time.Millisecond)
	c.daemons[0].suspend(t)
	time.Sleep(2 * time.Second)
	c.daemons[0].resume(t)
	for _, ch := range results {
		<-ch
	}
	c.check(t)
}

// TestRefusalUnderFaults runs a random mix of requests, retries, faults of the upstreams
// and of the log, and suspended daemons, from fixed seeds.
func TestRefusalUnderFaults(t *testing.T) {
	for seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			c := startCluster(t, config{
				commitArgs: []string{"-service-ms", "20", "-capacity", "2", "-queue", "4"},
			})
			newFaultInjector(c, seed).run(t, 60)
			c.check(t)
		})
	}
}

// TestRefusalAfterCallerLeft cancels requests and sends them again.
func TestRefusalAfterCallerLeft(t *testing.T) {
	c := startCluster(t, config{
		commitArgs: []string{"-service-ms", "50"},
	})
	for i := range 20 {
		req := dispatchCall(fmt.Sprintf("repair %d", i), fmt.Sprintf("key-%d", i))
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(4*i)*time.Millisecond)
		c.do(ctx, req)
		cancel()
		require.Eventually(t, func() bool {
			return c.do(t.Context(), c.callsToAll(req)[1]).outcome == answered
		}, startTimeout, 50*time.Millisecond)
	}
	c.check(t)
}

// TestRefusalByDaemonThatWakes sends a key to a suspended daemon, has another one answer
// the request, and resumes the first during an outage of the log.
func TestRefusalByDaemonThatWakes(t *testing.T) {
	c := startCluster(t, config{})
	for i := range 10 {
		req := dispatchCall(fmt.Sprintf("repair %d", i), fmt.Sprintf("key-%d", i))
		c.daemons[0].suspend(t)
		first := c.startCall(t.Context(), req)
		time.Sleep(20 * time.Millisecond)
		r := c.do(t.Context(), c.callsToAll(req)[1])
		require.Equal(t, answered, r.outcome, r)
		c.log.setFaults(t, standinapi.Faults{
			Down: standinapi.NewOptBool(true),
		})
		c.daemons[0].resume(t)
		require.NotEqual(t, notRun, (<-first).outcome, "the request had been answered")
		c.log.setFaults(t, standinapi.Faults{})
	}
	c.check(t)
}
