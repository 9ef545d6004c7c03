package confsync_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sequoiafork/internal/table"
)

const (
	daemons       = 4
	rows          = 3
	keys          = 16
	checkInterval = 250 * time.Millisecond
	startupTime   = time.Second
	finalSyncTime = 30 * time.Second
	minSteps      = 10
	// runsPerScript is how often a script is run, because the order of simultaneous
	// events varies.
	runsPerScript = 5
	maxSteps      = 60
)

// step is one line of a script: an operation, its daemon and numeric argument, and how
// long to wait after it.
type step struct {
	Op     string
	Daemon int
	N      int
	WaitMs int
}

var operations = []string{
	"edit", "edit", "edit", "race", "delete", "publish", "claim", "claim", "claim", "repeat", "repeat", "reuse", "fault", "fault", "log_down", "log_up", "cut_log", "heal_log",
	"cut_peers", "heal_peers", "freeze", "thaw", "restart", "restart", "expire", "expire", "damage", "rubbish", "slow", "fast", "lone_restart",
}

func genSteps() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Op:     rapid.SampledFrom(operations).Draw(t, "op"),
			Daemon: rapid.IntRange(0, daemons-1).Draw(t, "daemon"),
			N:      rapid.IntRange(0, 20).Draw(t, "n"),
			WaitMs: rapid.SampledFrom([]int{0, 1, 20, 300, 2000, 9000, 15_000}).Draw(t, "wait_ms"),
		}
	}), minSteps, maxSteps)
}

func format(steps []step) string {
	var b strings.Builder
	for _, s := range steps {
		fmt.Fprintln(&b, s.Op, s.Daemon, s.N, s.WaitMs)
	}
	return b.String()
}

// TestFuzz runs random scripts. Add the script of a failure to testdata/scripts.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := genSteps().Draw(rt, "steps")
		if err := runScript(t, steps); err != nil {
			rt.Fatalf("%v\nscript:\n%s", err, format(steps))
		}
	})
}

// TestScripts runs scripts that once failed.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/scripts/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			steps := readScript(t, path)
			for range runsPerScript {
				require.NoError(t, runScript(t, steps))
			}
		})
	}
}

func readScript(t *testing.T, path string) []step {
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	var steps []step
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var s step
		_, err := fmt.Sscan(line, &s.Op, &s.Daemon, &s.N, &s.WaitMs)
		require.NoError(t, err, "%s: %q", path, line)
		steps = append(steps, s)
	}
	return steps
}

func runScript(t *testing.T, steps []step) (err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCluster(ctx, daemons, uint64(len(steps)%2))
		defer c.stop()
		p := &scriptRunner{
			cluster:      c,
			checker:      newInvariantChecker(c),
			submitCounts: make(map[string]int),
		}
		err = p.run(ctx, steps)
		cancel()
		p.submits.Wait()
	})
	return err
}

// scriptRunner runs one script on a cluster.
type scriptRunner struct {
	cluster *cluster
	checker *invariantChecker
	submits sync.WaitGroup
	edits   int
	history []table.Edit

	mu            sync.Mutex
	responses     []submitResponse
	submitCounts  map[string]int
	newlyAccepted []uint64
}

func (p *scriptRunner) run(ctx context.Context, steps []step) error {
	if err := p.wait(startupTime); err != nil {
		return err
	}
	for _, s := range steps {
		p.execute(ctx, s)
		if err := p.wait(time.Duration(s.WaitMs) * time.Millisecond); err != nil {
			return err
		}
	}
	// Finally, all daemons must converge to one state through the log alone.
	p.cluster.log.setDown(false)
	for _, d := range p.cluster.daemons {
		d.link.setCut(false)
		d.link.setSlow(false)
		d.setCutPeers(true)
	}
	if err := p.wait(finalSyncTime); err != nil {
		return err
	}
	p.submits.Wait()
	end := p.cluster.log.end()
	if err := p.wait(time.Second); err != nil {
		return err
	}
	return p.checkEnd(end)
}

// wait waits for d and checks the invariants at every checkInterval.
func (p *scriptRunner) wait(d time.Duration) error {
	for until := time.Now().Add(d); ; {
		synctest.Wait()
		p.mu.Lock()
		for _, offset := range p.newlyAccepted {
			p.checker.accepted(offset)
		}
		p.newlyAccepted = nil
		p.mu.Unlock()
		if err := p.checker.check(); err != nil {
			return err
		}
		left := time.Until(until)
		if left <= 0 {
			return nil
		}
		time.Sleep(min(checkInterval, left))
	}
}

// checkEnd checks the final state of the daemons, which must have read the records
// before end, and all responses.
func (p *scriptRunner) checkEnd(end uint64) error {
	for _, d := range p.cluster.daemons {
		m := d.process().machine
		if !m.Ready() || m.NextOffset() < end {
			return fmt.Errorf("%s: ready %v, next offset %d at the end, the log's was %d", d.name, m.Ready(), m.NextOffset(), end)
		}
		if err := applyModel(p.cluster.log.before(m.NextOffset())).compare(m.Tables()); err != nil {
			return fmt.Errorf("%s: %w", d.name, err)
		}
	}
	final := applyModel(p.cluster.log.before(p.cluster.log.end()))
	for _, r := range p.responses {
		if err := final.check(r, p.submitCounts[r.id] > 1); err != nil {
			return err
		}
	}
	return nil
}
