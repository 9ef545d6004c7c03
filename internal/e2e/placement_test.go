package e2e

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/completion"
	"sequoiafork/internal/invoke"
	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/wire/operatorapi"
)

const (
	placementLease  = 2 * time.Second
	takeoverTimeout = 15 * time.Second
)

// setModels changes the models of the engines' pool.
func (c *cluster) setModels(t *testing.T, d *daemon, models ...string) {
	t.Helper()
	row, err := d.operators.ShowPool(t.Context(), operatorapi.ShowPoolParams{
		Name: oracle.EngineKind,
	})
	require.NoError(t, err)
	spec := row.Pool
	spec.Models = models
	require.NoError(t, accepted(d.operators.SetPool(t.Context(), &spec, operatorapi.SetPoolParams{
		Name:         oracle.EngineKind,
		BaseRevision: row.Revision,
	})))
}

// waitModels waits until each engine has exactly the given models.
func (c *cluster) waitModels(t *testing.T, engines *completion.Client, models ...string) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, e := range c.upstreams[oracle.EngineKind] {
			held, err := engines.Models(t.Context(), e.addr)
			if err != nil || len(held) != len(models) {
				return false
			}
			for _, m := range models {
				if !slices.Contains(held, m) {
					return false
				}
			}
		}
		return true
	}, takeoverTimeout, 50*time.Millisecond)
}

// assignment is one model assignment that an engine carried out.
type assignment struct {
	holder       string
	fencingToken int64
}

func (c *cluster) assignments(t *testing.T, engine *standin) []assignment {
	t.Helper()
	var assignments []assignment
	for _, e := range engine.ledger(t) {
		if e.Stage == "order" {
			assignments = append(assignments, assignment{
				holder:       e.RequestID,
				fencingToken: e.Fencing.Or(0),
			})
		}
	}
	return assignments
}

// leaseHolder returns the daemon that sent the last model assignment, and the assignment.
func (c *cluster) leaseHolder(t *testing.T) (*daemon, assignment) {
	t.Helper()
	assignments := c.assignments(t, c.upstreams[oracle.EngineKind][0])
	require.NotEmpty(t, assignments)
	last := assignments[len(assignments)-1]
	for _, d := range c.daemons {
		if d.Peer == last.holder[:len(d.Peer)] {
			return d, last
		}
	}
	require.FailNow(t, "no daemon sent the assignment", last.holder)
	return nil, assignment{}
}

// TestFrozenHolderGivesNoOldOrder suspends the holder of the placement lease until the
// lease has expired and another daemon has taken over, and then resumes it. No engine
// may carry out a model assignment with an older fencing token.
func TestFrozenHolderGivesNoOldOrder(t *testing.T) {
	c := startCluster(t, config{
		placementLease: placementLease,
	})
	engines, err := completion.New(invoke.Config{})
	require.NoError(t, err)
	c.setModels(t, c.daemons[0], model, "m2")
	c.waitModels(t, engines, model, "m2")
	first, _ := c.leaseHolder(t)
	first.suspend(t)
	other := c.daemons[(slices.Index(c.daemons, first)+1)%len(c.daemons)]
	c.setModels(t, other, model, "m2", "m3")
	c.waitModels(t, engines, model, "m2", "m3")
	second, _ := c.leaseHolder(t)
	require.NotEqual(t, first, second)
	first.resume(t)
	c.setModels(t, other, model, "m2", "m3", "m4")
	c.waitModels(t, engines, model, "m2", "m3", "m4")
	for _, e := range c.upstreams[oracle.EngineKind] {
		assignments := c.assignments(t, e)
		require.True(t, slices.IsSortedFunc(assignments, func(a, b assignment) int { return int(a.fencingToken - b.fencingToken) }), "fencing tokens of %v", assignments)
	}
}

// TestOldOrderIsRefusedOrRepaired sends a model assignment with an old fencing token, as
// a holder does that was suspended between its last check of the lease and the sending.
// An engine that checks tokens rejects it; on any other, the holder corrects the models.
func TestOldOrderIsRefusedOrRepaired(t *testing.T) {
	for _, checks := range []bool{true, false} {
		cfg := config{
			placementLease: placementLease,
		}
		if checks {
			cfg.engineArgs = []string{"-checks-fencing"}
		}
		c := startCluster(t, cfg)
		engines, err := completion.New(invoke.Config{})
		require.NoError(t, err)
		c.setModels(t, c.daemons[0], model, "m2")
		c.waitModels(t, engines, model, "m2")
		_, last := c.leaseHolder(t)
		engine := c.upstreams[oracle.EngineKind][0]
		err = engines.SetModels(t.Context(), engine.addr, []string{model}, uint64(last.fencingToken-1), "old")
		var fenced *completion.FencedError
		if checks {
			require.ErrorAs(t, err, &fenced)
		} else {
			require.NoError(t, err, "an engine that does not check fencing tokens accepts an old assignment")
		}
		c.waitModels(t, engines, model, "m2")
	}
}
