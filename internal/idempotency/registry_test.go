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

// step is one thing that happens to a cluster.
type step struct {
	kind   int
	daemon int
	key    int
	run    runKind
	fault  appendFault
	pause  time.Duration
}

const (
	stepCall = iota
	stepCallAll
	stepIssuedCall
	stepFault
	stepFreeze
	stepThaw
	stepKill
	stepOtherBody
	stepKinds
)

const (
	clusterSize = 3
	keyCount    = 3
)

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:   rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
			daemon: rapid.IntRange(0, clusterSize-1).Draw(t, "daemon"),
			key:    rapid.IntRange(0, keyCount-1).Draw(t, "key"),
			run:    runKind(rapid.IntRange(0, int(runKinds)-1).Draw(t, "run")),
			fault:  appendFault(rapid.IntRange(0, int(appendFaults)-1).Draw(t, "fault")),
			pause:  time.Duration(rapid.SampledFrom([]int{0, 1, 20, 100, 3000, 20000}).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 25).Draw(t, "steps")
}

func TestKeysRunAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		failed := bubble.Run(t, func(t *bubble.T) { playSteps(t, steps) })
		if failed != "" {
			rt.Fatal(failed)
		}
	})
}

func playSteps(t *bubble.T, steps []step) {
	c := newCluster(clusterSize)
	issued := make(map[int]string)
	for _, s := range steps {
		c.play(s, issued)
		time.Sleep(s.pause)
	}
	c.log.setFault(appendWell)
	for _, d := range c.daemons {
		d.set(&d.frozen, false)
	}
	c.log.wake()
	// Whoever still waits gets its answer, then each key is asked for once more.
	time.Sleep(time.Minute)
	for _, key := range c.askedFor() {
		go c.daemons[0].call(key, "in", runAnswered)
	}
	time.Sleep(time.Minute)
	c.check(t)
	c.stop()
}

// askedFor returns the keys that some caller was told of.
func (c *cluster) askedFor() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.told))
}

func (c *cluster) play(s step, issued map[int]string) {
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
	case stepFreeze:
		d.set(&d.frozen, true)
	case stepThaw:
		d.set(&d.frozen, false)
		c.log.wake()
	case stepKill:
		c.kill(s.daemon)
	case stepOtherBody:
		go d.call(key, "other", s.run)
	}
}

// check compares what callers were told with the ledger of runs.
func (c *cluster) check(t require.TestingT) {
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Empty(t, c.untrue, "keys told not_run though a claim may be on the log")
	for key, runs := range c.runs {
		require.LessOrEqual(t, len(runs), 1, "runs of %s", key)
	}
	for key, told := range c.told {
		for _, o := range told {
			c.checkOne(t, key, o)
		}
	}
}

func (c *cluster) checkOne(t require.TestingT, key string, o outcome.Outcome) {
	runs := c.runs[key]
	switch o := o.(type) {
	case outcome.Answered:
		require.Equal(t, []string{o.RequestID}, runs, "runs behind an answer of %s", key)
	case outcome.NotRun:
		require.NotContains(t, runs, o.RequestID, "runs of %s, told not_run (%s)", key, o.Code)
		if o.Code == outcome.CodeOverloaded {
			// The run itself said so, after the claim: the key never runs.
			require.Empty(t, runs, "runs of %s, whose run was refused", key)
		}
	case outcome.Failed, outcome.Unknown:
	}
}

func TestAnsweredKeyGivesTheSameAnswerEverywhere(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		for _, d := range c.daemons {
			d.call("k", "in", runAnswered)
		}
		require.Len(t, c.told["k"], clusterSize)
		for _, o := range c.told["k"] {
			require.Equal(t, c.told["k"][0], o)
			require.IsType(t, outcome.Answered{}, o)
		}
		c.stop()
	})
	require.Empty(t, failed)
}

func TestOtherBodyIsRefused(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		c.daemons[0].call("k", "in", runAnswered)
		c.daemons[0].call("k", "other", runAnswered)
		c.daemons[1].call("k", "other", runAnswered)
		for _, o := range c.told["k"][1:] {
			require.Equal(t, outcome.CodeKeyBodyMismatch, outcome.CodeOf(o))
		}
		c.stop()
	})
	require.Empty(t, failed)
}

func TestRefusedWhileTheLogIsDownAndRunAfter(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		c.log.setFault(appendRefused)
		began := time.Now()
		c.daemons[0].call("k", "in", runAnswered)
		require.Less(t, time.Since(began), time.Second, "a refusal is sent at once")
		require.Equal(t, outcome.CodeLogUnavailable, outcome.CodeOf(c.told["k"][0]))
		c.log.setFault(appendWell)
		c.daemons[1].call("k", "in", runAnswered)
		require.IsType(t, outcome.Answered{}, c.told["k"][1])
		c.stop()
	})
	require.Empty(t, failed)
}

func TestIssuedKeyWorksWhileTheLogIsDown(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		c.log.setFault(appendRefused)
		key, valid := c.daemons[0].registry.Issue()
		c.daemons[1].call(key, "in", runAnswered)
		require.IsType(t, outcome.Answered{}, c.told[key][0])
		unused, _ := c.daemons[0].registry.Issue()
		time.Sleep(valid + time.Second)
		c.daemons[2].call(key, "in", runAnswered)
		require.Equal(t, c.told[key][0], c.told[key][1], "the same answer after the key's time")
		c.daemons[2].call(unused, "in", runAnswered)
		require.Equal(t, outcome.CodeKeyExpired, outcome.CodeOf(c.told[unused][0]))
		require.Empty(t, c.runs[unused])
		c.stop()
	})
	require.Empty(t, failed)
}

func TestLateAnswerIsKeptForItsKey(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		c.daemons[0].call("k", "in", runLate)
		time.Sleep(10 * time.Second)
		c.daemons[1].call("k", "in", runAnswered)
		require.IsType(t, outcome.Unknown{}, c.told["k"][0])
		require.IsType(t, outcome.Answered{}, c.told["k"][1])
		require.Len(t, c.runs["k"], 1)
		c.stop()
	})
	require.Empty(t, failed)
}

func TestKeyRunsOnceAfterItsClaimWasUnsettled(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		d := c.daemons[0]
		d.set(&d.frozen, true)
		c.log.setFault(appendReplyLost)
		d.call("k", "in", runAnswered)
		require.Equal(t, outcome.CodeClaimUnsettled, outcome.CodeOf(c.told["k"][0]))
		d.set(&d.frozen, false)
		c.log.wake()
		time.Sleep(time.Second)
		d.call("k", "in", runAnswered)
		require.IsType(t, outcome.Answered{}, c.told["k"][1])
		require.Len(t, c.runs["k"], 1)
		c.stop()
	})
	require.Empty(t, failed)
}

func TestForgottenOutcomeNeverRunsAgain(t *testing.T) {
	failed := bubble.Run(t, func(t *bubble.T) {
		c := newCluster(clusterSize)
		d := c.daemons[0]
		d.call("k", "in", runAnswered)
		time.Sleep(idempotency.DefaultResultWindow + time.Minute)
		d.call("other", "in", runAnswered) // settling a key forgets old ones
		for range 20 {
			d.call(ident.NewRequestID(), "in", runAnswered)
		}
		d.call("k", "in", runAnswered)
		require.Len(t, c.runs["k"], 1)
		require.NotContains(t, []string{"not_run", "failed"}, outcome.Name(c.told["k"][1]))
		c.stop()
	})
	require.Empty(t, failed)
}

func (c *cluster) stop() {
	close(c.over)
	for _, d := range c.daemons {
		d.cancel()
	}
	time.Sleep(time.Minute)
}
