package replay

import (
	"path/filepath"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// TestPlayRepeats plays scenarios several times with one seed and requires the same result
// of each request and the same costs. In a burst several requests get a slot at one
// instant, and the loss of an entry host or the ejection of an upstream ends many calls at
// once: if the scheduler orders what follows, the runs differ.
func TestPlayRepeats(t *testing.T) {
	const plays = 3
	for _, name := range []string{"trust_burst", "hutwacht_burst", "trust_entry_lost", "hutwacht_flood", "trust_straggler"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				first := playOnce(t, name, seed+1)
				for range plays - 1 {
					require.Equal(t, first, playOnce(t, name, seed+1), "seed %d", seed+1)
				}
			}
		})
	}
}

// playOnce plays a scenario with the system's own policy.
func playOnce(t *testing.T, name string, seed uint64) *Run {
	s, d, err := LoadScenario("../../testdata/scenarios/" + name + ".json")
	require.NoError(t, err)
	trace, err := LoadTrace(filepath.Join("../../testdata/traces", s.Trace+".jsonl"))
	require.NoError(t, err)
	var run *Run
	synctest.Test(t, func(t *testing.T) {
		run, err = Play(Config{
			Deployment: d,
			Scenario:   s,
			Trace:      trace,
			Policy:     Policies()[0],
			Seed:       seed,
		})
		require.NoError(t, err)
	})
	return run
}
