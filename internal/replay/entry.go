package replay

import (
	"context"
	"errors"
	"fmt"
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
	lost       atomic.Bool
	hostCtx    context.Context
	cancelHost context.CancelCauseFunc
	upstreams  *upstream.Set
	executor   *pipeline.Executor
}

func newEntry(cfg Config, i int, f *fleet, p *player) *entry {
	e := &entry{}
	e.hostCtx, e.cancelHost = context.WithCancelCause(context.Background())
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

// run runs r and reports whether the host is still alive afterwards.
func (e *entry) run(r pipeline.Request) (outcome.Outcome, bool) {
	ctx, cancel := context.WithCancelCause(e.hostCtx)
	defer cancel(nil)
	o, _ := e.executor.Run(ctx, r)
	return o, !e.lost.Load()
}

// kill simulates the loss of the host: it aborts all requests that it is running.
func (e *entry) kill() {
	e.lost.Store(true)
	e.cancelHost(errHostLost)
}
