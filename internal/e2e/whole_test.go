package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/wire/standinapi"
)

// badResponses returns faults with which an upstream runs a call but its response must
// not be used.
func badResponses() map[string]standinapi.Faults {
	return map[string]standinapi.Faults{
		"wrong ids": {
			WrongAttemptIds: standinapi.NewOptInt(1000),
		},
		"swapped": {
			SwapAnswers: standinapi.NewOptBool(true),
		},
		"sent twice": {
			DuplicateAnswers: standinapi.NewOptInt(1000),
		},
		"lost": {
			LoseReplies: standinapi.NewOptInt(1000),
		},
		"short": {
			ShortOutputs: standinapi.NewOptInt(1000),
		},
		"cut": {
			CutAfterBytes: standinapi.NewOptInt(100),
		},
		"cut cleanly": {
			CutAfterBytes: standinapi.NewOptInt(100),
			CutCleanly:    standinapi.NewOptBool(true),
		},
		"late": {
			SlowFactor: standinapi.NewOptFloat64(100),
		},
	}
}

// TestWholeUnderBadAnswers makes one upstream of each kind respond with errors such as
// truncated, swapped or duplicated responses. Idempotent requests must be answered with
// the help of the other upstream.
func TestWholeUnderBadAnswers(t *testing.T) {
	c := startCluster(t, config{})
	for name, faults := range badResponses() {
		for _, upstreams := range c.upstreams {
			upstreams[0].setFaults(t, faults)
		}
		var calls []call
		for i := range 20 {
			calls = append(calls, call{
				daemon: i % len(c.daemons),
				route:  orderRoute,
				input:  fmt.Sprintf("%s %d", name, i),
			}, call{
				daemon: i % len(c.daemons),
				route:  dispatchRoute,
				input:  fmt.Sprintf("%s %d", name, i),
				key:    fmt.Sprintf("%s %d", name, i),
			})
		}
		for _, r := range c.doAll(t.Context(), calls...) {
			if r.route == orderRoute {
				require.Equal(t, answered, r.outcome, r)
			}
		}
		for _, upstreams := range c.upstreams {
			upstreams[0].setFaults(t, standinapi.Faults{})
		}
	}
	c.check(t)
}

// TestWholeWhenCutAtEveryByte truncates the only upstream's response after each byte. The
// caller must never get a partial output, nor a failure once the response is complete.
func TestWholeWhenCutAtEveryByte(t *testing.T) {
	for kind, route := range map[string]string{
		"encoder":         encodeRoute,
		oracle.EngineKind: shortRoute,
	} {
		for _, cleanly := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s cleanly=%t", kind, cleanly), func(t *testing.T) {
				t.Parallel()
				c := startCluster(t, config{
					daemons:   1,
					upstreams: 1,
				})
				last := c.cutAtEveryByte(t, c.upstreams[kind][0], route, cleanly)
				t.Logf("complete after %d bytes", last)
				c.check(t)
			})
		}
	}
}

// cutAtEveryByte returns the smallest number of response bytes with which the call is
// answered.
func (c *cluster) cutAtEveryByte(t *testing.T, upstream *standin, route string, cleanly bool) int {
	t.Helper()
	const longest = 1000
	for n := 1; n < longest; n++ {
		upstream.setFaults(t, standinapi.Faults{
			CutAfterBytes: standinapi.NewOptInt(n),
			CutCleanly:    standinapi.NewOptBool(cleanly),
		})
		r := c.do(t.Context(), call{
			route: route,
			input: fmt.Sprintf("cut at %d", n),
		})
		if r.outcome == answered {
			return n
		}
	}
	require.FailNow(t, "no response was complete")
	return 0
}

// TestWholeWhenEngineIsKilled kills one of two engines in the middle of its streams to
// the daemons.
func TestWholeWhenEngineIsKilled(t *testing.T) {
	c := startCluster(t, config{
		engineArgs: []string{"-service-ms", "30"},
	})
	var results []<-chan callResult
	for i := range 8 {
		results = append(results, c.startCall(t.Context(), call{
			daemon: i % len(c.daemons),
			route:  orderRoute,
			input:  fmt.Sprintf("order %d", i),
		}))
	}
	engine := c.upstreams[oracle.EngineKind][0]
	require.Eventually(t, func() bool { return len(engine.ledger(t)) > 0 }, startTimeout, 5*time.Millisecond)
	time.Sleep(60 * time.Millisecond)
	engine.kill()
	for _, ch := range results {
		r := <-ch
		require.Equal(t, answered, r.outcome, r)
	}
	c.check(t)
}

// TestWholeWhenEntryHostIsKilled kills a daemon between the stages of its requests. Their
// callers send them again to another daemon.
func TestWholeWhenEntryHostIsKilled(t *testing.T) {
	c := startCluster(t, config{
		engineArgs: []string{"-service-ms", "30"},
	})
	var calls []call
	var results []<-chan callResult
	for i := range 8 {
		req := call{
			route: orderRoute,
			input: fmt.Sprintf("order %d", i),
			key:   fmt.Sprintf("key-%d", i),
		}
		results = append(results, c.startCall(t.Context(), req))
		req.daemon = 1
		calls = append(calls, req)
	}
	time.Sleep(100 * time.Millisecond)
	c.daemons[0].kill()
	for _, ch := range results {
		require.Equal(t, connectionLost, (<-ch).outcome)
	}
	for _, r := range c.doAll(t.Context(), calls...) {
		require.Equal(t, answered, r.outcome, r)
	}
	c.check(t)
}
