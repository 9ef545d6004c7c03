package e2e

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/standinapi"
)

// defaultSeeds is the number of seeds that a random test runs. E2E_SEEDS=N sets
// another number, for a longer search.
const defaultSeeds = 4

func seeds(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("E2E_SEEDS")
	if text == "" {
		return defaultSeeds
	}
	n, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err, "E2E_SEEDS")
	return n
}

// faultInjector makes random calls while it injects random faults.
type faultInjector struct {
	cluster   *cluster
	rand      *rand.Rand
	pending   []<-chan callResult
	suspended *daemon

	// kills enables killing and restarting daemons.
	kills  bool
	killed *daemon
}

func newFaultInjector(c *cluster, seed uint64) *faultInjector {
	return &faultInjector{
		cluster: c,
		rand:    rand.New(rand.NewPCG(seed, 0)),
	}
}

func (p *faultInjector) run(t *testing.T, steps int) {
	for i := range steps {
		p.step(t, i)
		time.Sleep(time.Duration(p.rand.IntN(40)) * time.Millisecond)
	}
	p.clearFaults(t)
	for _, ch := range p.pending {
		<-ch
	}
}

func (p *faultInjector) step(t *testing.T, i int) {
	switch p.rand.IntN(10) {
	case 0:
		p.faultUpstream(t)
	case 1:
		p.faultLog(t)
	case 2:
		p.suspend(t)
	case 3:
		p.clearFaults(t)
	case 4:
		p.kill()
	default:
		p.call(t, i)
	}
}

// call sends a request. A request with a key is sent a second time, to a random daemon,
// at once or up to 300 ms later.
func (p *faultInjector) call(t *testing.T, i int) {
	req := dispatchCall(fmt.Sprintf("repair %d", i), "")
	req.daemon = p.rand.IntN(len(p.cluster.daemons))
	req.deadline = time.Duration(50+p.rand.IntN(1000)) * time.Millisecond
	if p.rand.IntN(4) > 0 {
		req.key = fmt.Sprintf("key-%d", i)
	}
	p.pending = append(p.pending, p.cluster.startCall(t.Context(), req))
	if req.key == "" {
		return
	}
	second := req
	second.daemon = p.rand.IntN(len(p.cluster.daemons))
	second.deadline = 0
	delay := time.Duration(p.rand.IntN(3)*150) * time.Millisecond
	ch := make(chan callResult, 1)
	p.pending = append(p.pending, ch)
	go func() {
		time.Sleep(delay)
		ch <- p.cluster.do(t.Context(), second)
	}()
}

func (p *faultInjector) faultUpstream(t *testing.T) {
	faults := []standinapi.Faults{
		{
			Down: standinapi.NewOptBool(true),
		},
		{
			Leaving: standinapi.NewOptBool(true),
		},
		{
			Reset: standinapi.NewOptBool(true),
		},
		{
			LoseReplies: standinapi.NewOptInt(2),
		},
		{
			SlowFactor: standinapi.NewOptFloat64(20),
		},
		{
			CutAfterBytes: standinapi.NewOptInt(30),
		},
	}
	services := p.cluster.upstreams["service"]
	services[p.rand.IntN(len(services))].setFaults(t, faults[p.rand.IntN(len(faults))])
}

func (p *faultInjector) faultLog(t *testing.T) {
	faults := []standinapi.Faults{
		{
			Down: standinapi.NewOptBool(true),
		},
		{
			LoseReplies: standinapi.NewOptInt(3),
		},
		{
			DelayMs: standinapi.NewOptInt64(300),
		},
	}
	p.cluster.log.setFaults(t, faults[p.rand.IntN(len(faults))])
}

func (p *faultInjector) suspend(t *testing.T) {
	if p.suspended != nil {
		return
	}
	d := p.cluster.daemons[p.rand.IntN(len(p.cluster.daemons))]
	if d == p.killed {
		return
	}
	d.suspend(t)
	p.suspended = d
}

func (p *faultInjector) kill() {
	if !p.kills || p.killed != nil {
		return
	}
	d := p.cluster.daemons[p.rand.IntN(len(p.cluster.daemons))]
	if d == p.suspended {
		p.suspended = nil
	}
	d.process.kill()
	p.killed = d
}

// clearFaults restarts or resumes daemons and removes the faults of the log and the
// services.
func (p *faultInjector) clearFaults(t *testing.T) {
	if p.killed != nil {
		p.killed.start(t)
		p.killed = nil
	}
	if p.suspended != nil {
		p.suspended.resume(t)
		p.suspended = nil
	}
	p.cluster.log.setFaults(t, standinapi.Faults{})
	for _, s := range p.cluster.upstreams["service"] {
		s.setFaults(t, standinapi.Faults{})
	}
}
