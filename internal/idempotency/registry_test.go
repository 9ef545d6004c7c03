package idempotency_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sequoiafork/internal/bubble"
	"sequoiafork/internal/idempotency"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/outcome"
)

// step is one event in a cluster: a request, a fault or a change of a daemon's state.
// delay is the time to wait after it.
type step struct {
	kind   int
	daemon int
	key    int
	run    runKind
	fault  appendFault
	delay  time.Duration
}

const (
	stepCall = iota
	stepCallAll
	stepIssuedCall
	stepFault
	stepSuspend
	stepResume
	stepKill
	stepOtherInput
	stepKindCount
)

const (
	clusterSize = 3
	keyCount    = 3
)

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:   rapid.IntRange(0, stepKindCount-1).Draw(t, "kind"),
			daemon: rapid.IntRange(0, clusterSize-1).Draw(t, "daemon"),
			key:    rapid.IntRange(0, keyCount-1).Draw(t, "key"),
			run:    runKind(rapid.IntRange(0, int(runKindCount)-1).Draw(t, "run")),
			fault:  appendFault(rapid.IntRange(0, int(appendFaultCount)-1).Draw(t, "fault")),
			delay:  time.Duration(rapid.SampledFrom([]int{0, 1, 20, 100, 3000, 20000}).Draw(t, "delay")) * time.Millisecond,
		}
	}), 1, 25).Draw(t, "steps")
}

func TestKeysRunAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		failed := bubble.Run(t, func(t *bubble.T) { runSteps(t, steps) })
		if failed != "" {
			rt.Fatal(failed)
		}
	})
}

func runSteps(t *bubble.T, steps []step) {
	c := newCluster(clusterSize)
	issued := make(map[int]string)
	for _, s := range steps {
		c.runStep(s, issued)
		time.Sleep(s.delay)
	}
	c.log.setFault(appendSucceeds)
	for _, d := range c.daemons {
		d.set(&d.suspended, false)
	}
	c.log.notify()
	// Let all pending requests end, then send one more request for each key.
	time.Sleep(time.Minute)
	for _, key := range c.calledKeys() {
		go c.daemons[0].call(key, "in", runAnswered)
	}
	time.Sleep(time.Minute)
	c.check(t)
	c.stop()
}

// calledKeys returns the keys for which a caller has received an outcome.
func (c *cluster) calledKeys() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.outcomes))
}

func (c *cluster) runStep(s step, issued map[int]string) {
	d := c.daemons[s.daemon]
	key := fmt.Sprintf("key-%d", s.key)
	switch s.kind {
	case stepCall:
		go d.call(key, "in", s.run)
	case stepCallAll:
		for _, d := range c.daemons {
			go d.call(key, "in", s.run)
		}
	case stepIssuedCall:
		if issued[s.key] == "" {
			issued[s.key], _ = d.registry.Issue()
		}
		for _, d := range c.daemons {
			go d.call(issued[s.key], "in", s.run)
		}
	case stepFault:
		c.log.setFault(s.fault)
	case stepSuspend:
		d.set(&d.suspended, true)
	case stepResume:
		d.set(&d.suspended, false)
		c.log.notify()
	case stepKill:
		c.kill(s.daemon)
	case stepOtherInput:
		go d.call(key, "other", s.run)
	}
}

// check compares the outcomes that callers received with the recorded runs.
func (c *cluster) check(t require.TestingT) {
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Empty(t, c.falseNotRun, "keys with a false not_run: claimed or run before")
	for key, runs := range c.runs {
		require.LessOrEqual(t, len(runs), 1, "runs of %s", key)
	}
	for key, outcomes := range c.outcomes {
		for _, o := range outcomes {
			c.checkOutcome(t, key, o)
		}
	}
}

func (c *cluster) checkOutcome(t require.TestingT, key string, o outcome.Outcome) {
	runs := c.runs[key]
	switch o := o.(type) {
	case outcome.Answered:
		require.Equal(t, []string{o.RequestID}, runs, "runs behind an answer of %s", key)
	case outcome.NotRun:
		require.NotContains(t, runs, o.RequestID, "runs of %s, reported as not_run (%s)", key, o.Code)
		if o.Code == outcome.CodeOverloaded {
			// The run itself was rejected after the claim, so the key's request never runs.
			require.Empty(t, runs, "runs of %s, whose run was rejected", key)
		}
	case outcome.Failed, outcome.Unknown:
	}
}

func TestAnsweredKeyReturnsSameAnswerOnEveryDaemon(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		for _, d := range c.daemons {
			d.call("k", "in", runAnswered)
		}
		require.Len(t, c.outcomes["k"], clusterSize)
		for _, o := range c.outcomes["k"] {
			require.Equal(t, c.outcomes["k"][0], o)
			require.IsType(t, outcome.Answered{}, o)
		}
		c.stop()
	})
	require.Empty(t, failed)
}

func TestOtherInputIsRejected(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		c.daemons[0].call("k", "in", runAnswered)
		c.daemons[0].call("k", "other", runAnswered)
		c.daemons[1].call("k", "other", runAnswered)
		for _, o := range c.outcomes["k"][1:] {
			require.Equal(t, outcome.CodeKeyBodyMismatch, outcome.CodeOf(o))
		}
		c.stop()
	})
	require.Empty(t, failed)
}

func TestRejectedWhileLogIsDownThenRun(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		c.log.setFault(appendRejected)
		start := time.Now()
		c.daemons[0].call("k", "in", runAnswered)
		require.Less(t, time.Since(start), time.Second, "a rejection is sent without delay")
		require.Equal(t, outcome.CodeLogUnavailable, outcome.CodeOf(c.outcomes["k"][0]))
		c.log.setFault(appendSucceeds)
		c.daemons[1].call("k", "in", runAnswered)
		require.IsType(t, outcome.Answered{}, c.outcomes["k"][1])
		c.stop()
	})
	require.Empty(t, failed)
}

func TestIssuedKeyWorksWhileTheLogIsDown(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		c.log.setFault(appendRejected)
		key, valid := c.daemons[0].registry.Issue()
		c.daemons[1].call(key, "in", runAnswered)
		require.IsType(t, outcome.Answered{}, c.outcomes[key][0])
		unused, _ := c.daemons[0].registry.Issue()
		time.Sleep(valid + time.Second)
		c.daemons[2].call(key, "in", runAnswered)
		require.Equal(t, c.outcomes[key][0], c.outcomes[key][1], "the same answer after the key expired")
		c.daemons[2].call(unused, "in", runAnswered)
		require.Equal(t, outcome.CodeKeyExpired, outcome.CodeOf(c.outcomes[unused][0]))
		require.Empty(t, c.runs[unused])
		c.stop()
	})
	require.Empty(t, failed)
}

// TestIssuedKeyExpiresAlthoughTheClockIsSetBack guards against a key that is valid again after its outcome was dropped,
// because the wall clock was set back, and whose request runs twice.
func TestIssuedKeyExpiresAlthoughTheClockIsSetBack(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		const (
			setBack = 24 * time.Hour
			// others is so many keys that each part of the registry gets some.
			others = 1000
		)
		c := newCluster(clusterSize)
		r := c.daemons[0].registry
		r.SetClockBack(setBack)
		key, _ := r.Issue()
		c.daemons[0].call(key, "in", runAnswered)
		time.Sleep(r.ResultWindow() + time.Second)
		for range others { // Drops what is older than the window.
			other, _ := r.Issue()
			c.daemons[0].call(other, "in", runAnswered)
		}
		c.daemons[0].call(key, "in", runAnswered)
		require.Equal(t, outcome.CodeKeyExpired, outcome.CodeOf(c.outcomes[key][1]))
		require.Len(t, c.runs[key], 1)
		c.stop()
	})
	require.Empty(t, failed)
}

func TestAnswerAfterDeadlineIsStoredForItsKey(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		c.daemons[0].call("k", "in", runAnsweredLate)
		time.Sleep(10 * time.Second)
		c.daemons[1].call("k", "in", runAnswered)
		require.IsType(t, outcome.Unknown{}, c.outcomes["k"][0])
		require.IsType(t, outcome.Answered{}, c.outcomes["k"][1])
		require.Len(t, c.runs["k"], 1)
		c.stop()
	})
	require.Empty(t, failed)
}

func TestKeyRunsOnceAfterUnresolvedClaim(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		d := c.daemons[0]
		d.set(&d.suspended, true)
		c.log.setFault(appendResponseLost)
		d.call("k", "in", runAnswered)
		require.Equal(t, outcome.CodeClaimUnsettled, outcome.CodeOf(c.outcomes["k"][0]))
		d.set(&d.suspended, false)
		c.log.notify()
		time.Sleep(time.Second)
		d.call("k", "in", runAnswered)
		require.IsType(t, outcome.Answered{}, c.outcomes["k"][1])
		require.Len(t, c.runs["k"], 1)
		c.stop()
	})
	require.Empty(t, failed)
}

func TestKeyWithExpiredOutcomeNeverRunsAgain(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		d := c.daemons[0]
		d.call("k", "in", runAnswered)
		time.Sleep(idempotency.DefaultResultWindow + time.Minute)
		d.call("other", "in", runAnswered) // completing a key evicts expired ones
		for range 20 {
			d.call(ident.NewRequestID(), "in", runAnswered)
		}
		d.call("k", "in", runAnswered)
		require.Len(t, c.runs["k"], 1)
		require.NotContains(t, []string{"not_run", "failed"}, outcome.Name(c.outcomes["k"][1]))
		c.stop()
	})
	require.Empty(t, failed)
}

func (c *cluster) stop() {
	close(c.ended)
	for _, d := range c.daemons {
		d.cancel()
	}
	time.Sleep(time.Minute)
}
