package replay

import (
	"flag"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

var (
	seedCount = flag.Int("seeds", 5, "number of seeds with which TestReplay plays each scenario")
	policies  = flag.String("policies", "own", "comma-separated policies that TestReplay compares, or \"all\"")
	scenarios = flag.String("scenarios", "*", "glob pattern of the scenarios that TestReplay plays")
)

// TestReplay plays the recorded scenarios on the synthetic clock of testing/synctest.
// The guarantees must hold in every run; the expected outcomes apply to the first of
// the compared policies, by default the system's own.
//
//	go test ./internal/replay -run TestReplay -v -policies all
func TestReplay(t *testing.T) {
	paths, err := filepath.Glob("../../testdata/scenarios/" + *scenarios + ".json")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".json"), func(t *testing.T) {
			t.Parallel()
			replayScenario(t, path)
		})
	}
}

func replayScenario(t *testing.T, path string) {
	s, d, err := LoadScenario(path)
	require.NoError(t, err)
	trace, err := LoadTrace(filepath.Join("../../testdata/traces", s.Trace+".jsonl"))
	require.NoError(t, err)
	c := Comparison{
		Deployment: d,
		Scenario:   s,
		Trace:      trace,
		Policies:   selectedPolicies(),
		Play: func(cfg Config) (run *Run, err error) {
			synctest.Test(t, func(*testing.T) { run, err = Play(cfg) })
			return run, err
		},
	}
	for i := range *seedCount {
		c.Seeds = append(c.Seeds, uint64(i+1))
	}
	reports, err := c.Reports()
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, WriteComparison(&b, reports))
	require.NoError(t, WriteDetails(&b, reports[0].Runs[0]))
	t.Logf("%s: %d arrivals, bound %d, fraction of the bound of a central queue %s\n%s", s.Name, len(trace),
		reports[0].Bound, centralQueueFractions(c, reports[0].Bound), b.String())
	t.Run("guarantees", func(t *testing.T) {
		for _, r := range reports {
			require.Zero(t, r.Violations(), "policy %s violated a guarantee", r.Policy)
		}
	})
	t.Run("outcomes", func(t *testing.T) {
		require.Empty(t, reports[0].Shortfalls(), "policy %s misses an expected outcome", reports[0].Policy)
	})
}

// centralQueueFractions describes the fractions of the bound that central queues with
// several start rules answer in time.
func centralQueueFractions(c Comparison, bound int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "that is clairvoyant %v", centralQueueFraction(c, bound, StartRule{
		Clairvoyant: true,
	}))
	for _, reserve := range []float64{1, 1.25, 1.5, 1.75, 2, 2.5} {
		fmt.Fprintf(&b, ", with %v times the mean in reserve %v", reserve, centralQueueFraction(c, bound, StartRule{
			Reserve: reserve,
		}))
	}
	return b.String()
}

// centralQueueFraction returns the number of requests that one central queue answers
// in time, as a fraction of the bound.
func centralQueueFraction(c Comparison, bound int, rule StartRule) Summary {
	var fractions []float64
	for _, seed := range c.Seeds {
		fractions = append(fractions, float64(SimulateCentralQueue(c.Deployment, c.Scenario, c.Trace, seed, rule))/float64(bound))
	}
	return Summarize(fractions)
}

func selectedPolicies() []Policy {
	if *policies == "all" {
		return Policies()
	}
	names := strings.Split(*policies, ",")
	return slices.DeleteFunc(Policies(), func(p Policy) bool { return !slices.Contains(names, p.Name) })
}
