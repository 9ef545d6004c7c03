package fairshare_test

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/fairshare"
)

// raceCostFactor is how many times more time a decision may take under the race detector.
const raceCostFactor = 20

// manyWorkspaces is the number of workspaces of the largest deployment.
const manyWorkspaces = 4000

func workspaceNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%05d", i)
	}
	return names
}

// decide does what the owner of the stage work does for a job, of which every second one is rejected.
func decide(s *fairshare.Shares, workspace string, i int, now time.Time) {
	s.Standing(workspace, now)
	s.Offer(workspace, time.Second, now)
	if i%2 == 0 {
		s.Accept(workspace, time.Second, now)
	}
}

// BenchmarkDecision measures a decision at 4,000 workspaces and 1,000 decisions a second, including the shares that
// are computed meanwhile.
func BenchmarkDecision(b *testing.B) {
	names := workspaceNames(manyWorkspaces)
	s := fairshare.New(fairshare.Config{})
	now := time.Now()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		decide(s, names[i%len(names)], i, now)
		now = now.Add(time.Millisecond)
		i++
	}
}

// TestDecisionTakesBoundedTime guards against decisions that take more than a hundredth of a core at 1,000 a second and
// 4,000 workspaces.
func TestDecisionTakesBoundedTime(t *testing.T) {
	bound := 10 * time.Microsecond
	if raceEnabled {
		bound *= raceCostFactor
	}
	best := time.Hour
	for range 3 { // Other work of the machine only adds to the measurement.
		best = min(best, time.Duration(testing.Benchmark(BenchmarkDecision).NsPerOp()))
	}
	t.Logf("%v a decision", best)
	require.Less(t, best, bound)
}

// TestLongestDecisionTakesBoundedTime guards against a decision that holds up the submission of jobs because it drops a
// step of the window and computes the shares.
func TestLongestDecisionTakesBoundedTime(t *testing.T) {
	bound := 5 * time.Millisecond
	if raceEnabled {
		bound *= raceCostFactor
	}
	best := time.Hour
	for range 5 { // Other work of the machine only adds to the measurement.
		s := fairshare.New(fairshare.Config{})
		now := time.Now()
		for i, name := range workspaceNames(manyWorkspaces) {
			work := time.Millisecond << (i % 20) // Widely different offers take most passes.
			s.Offer(name, work, now)
			s.Accept(name, work/4, now)
		}
		began := time.Now()
		require.True(t, s.Standing("workspace-00000", now.Add(time.Second)).Limited)
		best = min(best, time.Since(began))
	}
	t.Logf("%v for the longest decision", best)
	require.Less(t, best, bound)
}

// TestMemoryIsBounded guards against state that grows with the number of workspaces that ever had work, and against
// more than 4 MB for the workspaces of the largest deployment.
func TestMemoryIsBounded(t *testing.T) {
	const bound = 4 << 20
	synctest.Test(t, func(t *testing.T) {
		s := fairshare.New(fairshare.Config{})
		before := heap()
		for round := range 10 {
			for i := range 2 * manyWorkspaces {
				decide(s, fmt.Sprintf("workspace-%d-%d", round, i), i, time.Now())
			}
			time.Sleep(time.Second)
		}
		used := heap() - before
		t.Logf("%d bytes", used)
		require.Less(t, used, bound)
		time.Sleep(fairshare.DefaultWindow)
		require.Empty(t, s.Largest(1, time.Now()), "workspaces without work in the window")
	})
}

// heap returns the bytes in use after a collection.
func heap() int {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
