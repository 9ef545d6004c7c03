package replay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sequoiafork/internal/admission"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/stagetime"
	"sequoiafork/internal/upstream"
)

// gossipDelay is the time until the other entry hosts learn of a draining or dead
// upstream.
const gossipDelay = 50 * time.Millisecond

// errHostLost is the cancellation cause of requests whose entry host was lost.
var errHostLost = errors.New("entry host lost")

// entry is one entry host, which runs the real pipeline, admission and upstream
// selection.
type entry struct {
	lost      atomic.Bool
	upstreams *upstream.Set
	executor  *pipeline.Executor

	mu sync.Mutex
	// running holds the requests that the host runs, by arrival.
	running map[arrivalIndex]context.CancelCauseFunc
}

func newEntry(cfg Config, i int, f *fleet, p *player) *entry {
	e := &entry{
		running: make(map[arrivalIndex]context.CancelCauseFunc),
	}
	up := cfg.Policy.Upstream
	up.DataCentre = cfg.Deployment.DataCentres[i%len(cfg.Deployment.DataCentres)]
	up.Seed = cfg.Seed + uint64(i)
	up.Self = fmt.Sprintf("entry-%d", i)
	up.OnStateChange = func(addr string, st upstream.State) { p.gossipState(e, addr, st) }
	e.upstreams = upstream.New(up)
	e.upstreams.Replace(cfg.Deployment.Hosts())
	var cacheTTL time.Duration
	if cfg.Policy.NoCache {
		cacheTTL = time.Nanosecond // zero selects the default TTL
	}
	e.executor = pipeline.New(pipeline.Config{
		Engines:   f,
		Services:  f,
		Upstreams: e.upstreams,
		Admission: admission.New(cfg.Policy.Admission),
		Times:     stagetime.New(stagetime.Config{}),
		Budget:    cfg.Policy.Budget,
		Daemons:   p.liveEntries,
		NoHedge:   cfg.Policy.NoHedge,
		CacheTTL:  cacheTTL,
	})
	return e
}

// run runs the request of an arrival and reports whether the host is still alive
// afterwards.
func (e *entry) run(i arrivalIndex, r pipeline.Request) (outcome.Outcome, bool) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	e.setRunning(i, cancel)
	defer e.setRunning(i, nil)
	o, _ := e.executor.Run(ctx, r)
	return o, !e.lost.Load()
}

// setRunning records how the request of an arrival is aborted, or with nil that it ended.
func (e *entry) setRunning(i arrivalIndex, cancel context.CancelCauseFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel == nil {
		delete(e.running, i)
		return
	}
	e.running[i] = cancel
}

// kill simulates the loss of the host: it aborts all requests that it is running, in the
// order of their arrivals, each at an instant of its own.
func (e *entry) kill() {
	e.lost.Store(true)
	start := time.Now()
	e.mu.Lock()
	running := maps.Clone(e.running)
	e.mu.Unlock()
	for _, i := range slices.Sorted(maps.Keys(running)) {
		time.Sleep(time.Until(start.Add(i.offset())))
		running[i](errHostLost)
	}
}
