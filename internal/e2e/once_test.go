package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/callerapi"
	"sequoiafork/internal/wire/standinapi"
)

const (
	// slowCommitMs is long enough for a test to act while the non-idempotent stage runs.
	slowCommitMs = "500"
	// suspendTime is longer than the term of any lease.
	suspendTime = 11 * time.Second
)

func dispatchCall(input, key string) call {
	return call{
		route: dispatchRoute,
		input: input,
		key:   key,
	}
}

func slowConfig() config {
	return config{
		commitArgs: []string{"-service-ms", slowCommitMs},
	}
}

// issueKey returns an idempotency key that the daemon issued.
func (d *daemon) issueKey(t *testing.T) string {
	t.Helper()
	key, err := d.callers.IssueKey(t.Context())
	require.NoError(t, err)
	return key.Key
}

func (c *cluster) requireCommits(t *testing.T, input string, want int) {
	t.Helper()
	require.Len(t, c.commits(t, input), want, "executions for %q", input)
}

// TestOnceAtTheSameMoment sends each key to every daemon concurrently, then again.
func TestOnceAtTheSameMoment(t *testing.T) {
	c := startCluster(t, config{})
	var calls []call
	for i := range 40 {
		key := fmt.Sprintf("key-%d", i)
		if i%2 == 1 {
			key = c.daemons[i%len(c.daemons)].issueKey(t)
		}
		calls = append(calls, c.callsToAll(dispatchCall(fmt.Sprintf("repair %d", i), key))...)
	}
	for range 2 {
		for _, r := range c.doAll(t.Context(), calls...) {
			require.Equal(t, answered, r.outcome, r)
		}
	}
	c.check(t)
}

// TestOnceAfterOwnerIsKilled kills the daemon that runs the request. The outcome of the
// key stays unknown and the request is not run again.
func TestOnceAfterOwnerIsKilled(t *testing.T) {
	for _, issued := range []bool{false, true} {
		t.Run(fmt.Sprintf("issued=%t", issued), func(t *testing.T) {
			c := startCluster(t, slowConfig())
			key := "chosen"
			if issued {
				key = c.daemons[0].issueKey(t)
			}
			req := dispatchCall("repair", key)
			first := c.startCall(t.Context(), req)
			c.waitCommit(t, req.input)
			c.daemons[0].kill()
			require.Equal(t, connectionLost, (<-first).outcome)
			for _, r := range c.doAll(t.Context(), c.callsToAll(req)[1:]...) {
				require.Equal(t, unknown, r.outcome, r)
			}
			c.daemons[0].start(t)
			c.daemons[0].waitReady(t)
			for _, r := range c.doAll(t.Context(), c.callsToAll(req)...) {
				require.Equal(t, unknown, r.outcome, r)
			}
			c.requireCommits(t, req.input, 1)
			c.check(t)
		})
	}
}

// TestOnceAcrossFreeze suspends the daemon that runs the request for longer than the
// term of any lease.
func TestOnceAcrossFreeze(t *testing.T) {
	t.Parallel()
	c := startCluster(t, slowConfig())
	req := dispatchCall("repair", "chosen")
	first := c.startCall(t.Context(), req)
	c.waitCommit(t, req.input)
	c.daemons[0].suspend(t)
	for _, r := range c.doAll(t.Context(), c.callsToAll(req)[1:]...) {
		require.Equal(t, unknown, r.outcome, r)
	}
	time.Sleep(suspendTime)
	c.daemons[0].resume(t)
	<-first
	require.Eventually(t, func() bool {
		return c.do(t.Context(), c.callsToAll(req)[1]).outcome == answered
	}, startTimeout, 200*time.Millisecond)
	c.requireCommits(t, req.input, 1)
	c.check(t)
}

// TestOnceWhenFrozenBeforeTheClaim suspends a daemon at various times around its append
// of the claim and its dispatch. Other daemons get the same key meanwhile.
func TestOnceWhenFrozenBeforeTheClaim(t *testing.T) {
	c := startCluster(t, config{})
	for i := range 8 {
		req := dispatchCall(fmt.Sprintf("repair %d", i), fmt.Sprintf("key-%d", i))
		c.log.setFaults(t, standinapi.Faults{
			DelayMs: standinapi.NewOptInt64(30),
		})
		first := c.startCall(t.Context(), req)
		time.Sleep(time.Duration(10*i) * time.Millisecond)
		c.daemons[0].suspend(t)
		c.log.setFaults(t, standinapi.Faults{})
		for _, other := range c.callsToAll(req)[1:] {
			other.deadline = 500 * time.Millisecond
			c.do(t.Context(), other)
		}
		time.Sleep(100 * time.Millisecond)
		c.daemons[0].resume(t)
		<-first
		c.doAll(t.Context(), c.callsToAll(req)...)
	}
	c.check(t)
}

// TestOnceWhileTheLogIsDown sends keys before, during and after an outage.
func TestOnceWhileTheLogIsDown(t *testing.T) {
	c := startCluster(t, config{})
	before := dispatchCall("before", "before")
	issued := dispatchCall("issued", c.daemons[1].issueKey(t))
	during := dispatchCall("during", "during")
	require.Equal(t, answered, c.do(t.Context(), before).outcome)
	c.log.setFaults(t, standinapi.Faults{
		Down: standinapi.NewOptBool(true),
	})
	for _, r := range c.doAll(t.Context(), append(c.callsToAll(before), c.callsToAll(issued)...)...) {
		require.Equal(t, answered, r.outcome, r)
	}
	for _, r := range c.doAll(t.Context(), c.callsToAll(during)...) {
		require.Equal(t, notRun, r.outcome, r)
		require.Positive(t, r.retryAfter, r)
	}
	c.requireCommits(t, during.input, 0)
	c.log.setFaults(t, standinapi.Faults{})
	require.Eventually(t, func() bool {
		return c.do(t.Context(), during).outcome == answered
	}, startTimeout, 200*time.Millisecond)
	c.check(t)
}

// TestOnceWhileTheLogLosesReplies makes the log apply appends and lose the responses.
func TestOnceWhileTheLogLosesReplies(t *testing.T) {
	c := startCluster(t, config{})
	for i := range 12 {
		c.log.setFaults(t, standinapi.Faults{
			LoseReplies: standinapi.NewOptInt(1 + i%3),
		})
		req := dispatchCall(fmt.Sprintf("repair %d", i), fmt.Sprintf("key-%d", i))
		c.doAll(t.Context(), c.callsToAll(req)...)
		require.Eventually(t, func() bool {
			return c.do(t.Context(), req).outcome == answered
		}, startTimeout, 100*time.Millisecond)
	}
	c.check(t)
}

// TestOnceWhileTheLogIsSlow makes appends take effect after the requests that need them
// have timed out.
func TestOnceWhileTheLogIsSlow(t *testing.T) {
	c := startCluster(t, config{})
	c.log.setFaults(t, standinapi.Faults{
		DelayMs: standinapi.NewOptInt64(2500),
	})
	var calls []call
	for i := range 6 {
		req := dispatchCall(fmt.Sprintf("repair %d", i), fmt.Sprintf("key-%d", i))
		req.deadline = time.Duration(500+600*i) * time.Millisecond
		calls = append(calls, c.callsToAll(req)...)
	}
	c.doAll(t.Context(), calls...)
	c.log.setFaults(t, standinapi.Faults{})
	for _, req := range calls {
		require.Eventually(t, func() bool {
			return c.do(t.Context(), req).outcome != notRun
		}, startTimeout, 200*time.Millisecond)
	}
	c.check(t)
}

// TestOnceAfterTheWindow reuses keys after they have expired.
func TestOnceAfterTheWindow(t *testing.T) {
	c := startCluster(t, config{
		keyWindow: time.Second,
	})
	chosen := dispatchCall("chosen", "chosen")
	issued := dispatchCall("issued", c.daemons[0].issueKey(t))
	require.Equal(t, answered, c.do(t.Context(), chosen).outcome)
	require.Equal(t, answered, c.do(t.Context(), issued).outcome)
	time.Sleep(1500 * time.Millisecond)
	// Another key makes the daemons delete expired keys.
	require.Equal(t, answered, c.do(t.Context(), dispatchCall("other", "other")).outcome)
	c.doAll(t.Context(), append(c.callsToAll(chosen), c.callsToAll(issued)...)...)
	c.check(t)
}

// TestOnceAfterRetention reuses a key after the log has discarded its claim and every
// daemon has been restarted.
func TestOnceAfterRetention(t *testing.T) {
	c := startCluster(t, config{
		snapshotEvery: 20,
	})
	c.log.setFaults(t, standinapi.Faults{
		RetainRecords: standinapi.NewOptInt64(60),
	})
	req := dispatchCall("repair", "chosen")
	require.Equal(t, answered, c.do(t.Context(), req).outcome)
	for i := range 100 {
		c.do(t.Context(), dispatchCall(fmt.Sprintf("later %d", i), fmt.Sprintf("later-%d", i)))
	}
	for _, d := range c.daemons {
		d.kill()
		d.start(t)
		d.waitReady(t)
	}
	for _, r := range c.doAll(t.Context(), c.callsToAll(req)...) {
		require.Equal(t, unknown, r.outcome, r)
	}
	c.check(t)
}

// TestOnceWithAnotherBody uses one key for two different requests.
func TestOnceWithAnotherBody(t *testing.T) {
	c := startCluster(t, config{})
	require.Equal(t, answered, c.do(t.Context(), dispatchCall("repair", "chosen")).outcome)
	for _, r := range c.doAll(t.Context(), c.callsToAll(dispatchCall("another", "chosen"))...) {
		require.Equal(t, "key_body_mismatch", r.code, r)
	}
	c.requireCommits(t, "another", 0)
	c.check(t)
}

// TestOnceWhenTheUpstreamAnswersBadly corrupts or drops responses of the non-idempotent
// stage after it has run.
func TestOnceWhenTheUpstreamAnswersBadly(t *testing.T) {
	faults := map[string]standinapi.Faults{
		"lost": {
			LoseReplies: standinapi.NewOptInt(1),
		},
		"cut": {
			CutAfterBytes: standinapi.NewOptInt(40),
		},
		"cut cleanly": {
			CutAfterBytes: standinapi.NewOptInt(40),
			CutCleanly:    standinapi.NewOptBool(true),
		},
		"wrong id": {
			WrongAttemptIds: standinapi.NewOptInt(1),
		},
		"short output": {
			ShortOutputs: standinapi.NewOptInt(1),
		},
	}
	c := startCluster(t, config{
		upstreams: 1,
	})
	for name, f := range faults {
		c.upstreams["service"][0].setFaults(t, f)
		req := dispatchCall(name, "key "+name)
		require.Equal(t, unknown, c.do(t.Context(), req).outcome, name)
		c.upstreams["service"][0].setFaults(t, standinapi.Faults{})
		for _, r := range c.doAll(t.Context(), c.callsToAll(req)...) {
			require.Equal(t, unknown, r.outcome, r)
		}
		c.requireCommits(t, req.input, 1)
	}
	c.check(t)
}

// TestKeyCanBeAskedFor queries the state of keys without running a request.
func TestKeyCanBeAskedFor(t *testing.T) {
	c := startCluster(t, config{})
	req := dispatchCall("repair", "chosen")
	require.Equal(t, answered, c.do(t.Context(), req).outcome)
	for _, d := range c.daemons {
		state, err := d.callers.ShowKey(t.Context(), callerapi.ShowKeyParams{
			Key:       req.key,
			Workspace: workspace,
		})
		require.NoError(t, err)
		require.Equal(t, callerapi.KeyStateStateAnswered, state.State)
		state, err = d.callers.ShowKey(t.Context(), callerapi.ShowKeyParams{
			Key:       "never used",
			Workspace: workspace,
		})
		require.NoError(t, err)
		require.Equal(t, callerapi.KeyStateStateUnused, state.State)
	}
	c.check(t)
}

// TestOnceUnderFaults runs a random mix of keys sent to several daemons, faults of the
// upstreams and of the log, and daemons that are suspended or killed and restarted. At
// times one daemon is suspended while another one is down.
func TestOnceUnderFaults(t *testing.T) {
	for seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			c := startCluster(t, config{
				commitArgs: []string{"-service-ms", "20"},
			})
			p := newFaultInjector(c, seed)
			p.kills = true
			p.run(t, 80)
			c.check(t)
		})
	}
}
