package e2e

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/operatorapi"
)

const (
	// operatorTimeout bounds one request of an operator.
	operatorTimeout = 2 * time.Second
	readInterval    = 20 * time.Millisecond
	maxEditInterval = 60 * time.Millisecond
	// minEditDeadlineMs is greater than the deadline of the other routes, so that a
	// deadline identifies its edit.
	minEditDeadlineMs = 10_000
)

// edit is one edit of an operator and the result that the operator received.
type edit struct {
	id          string
	row         string
	base        int64
	deadlineMs  int64 // The route's deadline, unique to this edit.
	daemon      int
	state       operatorapi.EditResultState
	revision    int64
	respondedAt time.Time
	message     string
}

func (e edit) String() string {
	return fmt.Sprintf("%s edit %s of %s on %d to %d at daemon %d: %s %d %s", e.respondedAt.Format("05.000"), e.id, e.row, e.base, e.deadlineMs, e.daemon, e.state, e.revision, e.message)
}

// notSent is the state of an edit that the daemon rejected with an error, which means
// that nothing was changed.
const notSent operatorapi.EditResultState = "not_sent"

// observation is one read of the routes of one daemon.
type observation struct {
	began, ended time.Time
	revision     int64
	rows         map[string]operatorapi.RouteRow
}

// operators edit rows of the route table and read them from every daemon.
type operators struct {
	cluster *cluster
	rows    []string
	ended   <-chan struct{}
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu           sync.Mutex
	edits        []edit
	observations [][]observation // By daemon, in the order of the reads.
}

// startOperators starts n operators and one reader for each daemon.
func (c *cluster) startOperators(t *testing.T, n int, seed uint64) *operators {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	o := &operators{
		cluster: c,
		rows:    []string{"row-0", "row-1", "row-2"},
		ended:   ctx.Done(),
		stop:    stop,
	}
	for i, d := range c.daemons {
		d.setOperatorTimeout(t)
		o.watch(i, d)
	}
	for i := range n {
		o.wg.Go(func() {
			o.operate(ctx, i, rand.New(rand.NewPCG(seed, uint64(i))))
		})
	}
	return o
}

func (d *daemon) setOperatorTimeout(t *testing.T) {
	t.Helper()
	client, err := operatorapi.NewClient("http://"+d.Operator, operatorapi.WithClient(&http.Client{
		Timeout: operatorTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}))
	require.NoError(t, err)
	d.operators = client
}

// watch polls the routes of a daemon until the operators stop.
func (o *operators) watch(i int, d *daemon) {
	o.mu.Lock()
	o.observations = append(o.observations, nil)
	o.mu.Unlock()
	o.wg.Go(func() {
		for !o.isEnded() {
			if s, err := d.read(context.Background()); err == nil {
				o.mu.Lock()
				o.observations[i] = append(o.observations[i], s)
				o.mu.Unlock()
			}
			time.Sleep(readInterval)
		}
	})
}

func (o *operators) isEnded() bool {
	select {
	case <-o.ended:
		return true
	default:
		return false
	}
}

func (d *daemon) read(ctx context.Context) (observation, error) {
	s := observation{
		began: time.Now(),
		rows:  make(map[string]operatorapi.RouteRow),
	}
	list, err := d.operators.ListRoutes(ctx)
	if err != nil {
		return s, err
	}
	s.ended = time.Now()
	s.revision = list.Revision
	for _, row := range list.Rows {
		s.rows[row.Name] = row
	}
	return s, nil
}

// operate edits rows, each on the revision that a random daemon shows. Daemons that are
// started after the operators are only read.
func (o *operators) operate(ctx context.Context, operator int, r *rand.Rand) {
	daemons := o.cluster.daemons
	for n := 0; ctx.Err() == nil; n++ {
		e := edit{
			id:         fmt.Sprintf("edit-%d-%d", operator, n),
			row:        o.rows[r.IntN(len(o.rows))],
			deadlineMs: minEditDeadlineMs + int64(n*100+operator),
			daemon:     r.IntN(len(daemons)),
		}
		s, err := daemons[r.IntN(len(daemons))].read(ctx)
		if err == nil {
			e.base = s.rows[e.row].Revision
			o.submit(ctx, daemons[e.daemon], e)
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxEditInterval))))
	}
}

func (o *operators) submit(ctx context.Context, d *daemon, e edit) {
	spec := routeSpec(routes[encodeRoute])
	spec.DeadlineMs = e.deadlineMs
	result, err := d.operators.SetRoute(context.WithoutCancel(ctx), spec, operatorapi.SetRouteParams{
		Name:         e.row,
		BaseRevision: e.base,
		EditID:       operatorapi.NewOptString(e.id),
	})
	e.respondedAt = time.Now()
	var status *operatorapi.ErrorStatusCode
	switch {
	case err == nil:
		e.state = result.State
		e.revision = result.Revision.Or(0)
		e.message = result.Message
	case errors.As(err, &status):
		e.state = notSent
		e.message = status.Response.Message
	default:
		e.state = operatorapi.EditResultStateUnknown
		e.message = err.Error()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.edits = append(o.edits, e)
}

// finish stops the operators and resolves the edits whose outcome is unknown by querying
// every daemon. All daemons must agree. An edit that never arrived is not found and must
// never be shown.
func (o *operators) finish(t *testing.T) {
	t.Helper()
	o.stop()
	o.wg.Wait()
	// Edits may have been accepted after the last read.
	for i, d := range o.cluster.daemons {
		s, err := d.read(t.Context())
		require.NoError(t, err)
		o.observations[i] = append(o.observations[i], s)
	}
	for i := range o.edits {
		if o.edits[i].state == operatorapi.EditResultStateUnknown {
			o.resolve(t, &o.edits[i])
		}
	}
}

func (o *operators) resolve(t *testing.T, e *edit) {
	t.Helper()
	var states []operatorapi.EditResultState
	var problem error
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(readInterval) {
		states, problem = o.queryEdit(t.Context(), e)
		if problem == nil && len(slices.Compact(slices.Clone(states))) == 1 {
			break
		}
	}
	require.NoError(t, problem)
	require.Len(t, slices.Compact(slices.Clone(states)), 1, "daemons report different states %s: %s", states, e)
	e.state = states[0]
	e.message = "resolved later"
}

// queryEdit returns the state of an edit as each daemon reports it.
func (o *operators) queryEdit(ctx context.Context, e *edit) ([]operatorapi.EditResultState, error) {
	var states []operatorapi.EditResultState
	for i, d := range o.cluster.daemons {
		result, err := d.operators.ShowEdit(ctx, operatorapi.ShowEditParams{
			EditID: e.id,
		})
		if err != nil {
			return nil, fmt.Errorf("daemon %d: %w", i, err)
		}
		state := result.State
		if state == operatorapi.EditResultStateUnknown {
			// The daemon that sent the edit can't know that it will never arrive.
			state = operatorapi.EditResultStateNotFound
		}
		states = append(states, state)
		e.revision = max(e.revision, result.Revision.Or(0))
	}
	return states, nil
}
