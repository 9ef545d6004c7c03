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

// gossipDelay is the time that the word of a leaving or dead upstream takes
// to the other entry hosts.
const gossipDelay = 50 * time.Millisecond

// errHostLost is the cause of contexts that end with their entry host.
var errHostLost = errors.New("the entry host is lost")

// entry is one entry host with the real decision packages.
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
	var reuseTTL time.Duration
	if cfg.Policy.NoReuse {
		reuseTTL = time.Nanosecond
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
		ReuseTTL:  reuseTTL,
	})
	return e
}

// run runs r, and reports false if the host was lost meanwhile.
func (e *entry) run(r pipeline.Request) (outcome.Outcome, bool) {
	ctx, cancel := context.WithCancelCause(e.hostCtx)
	defer cancel(nil)
	o, _ := e.executor.Run(ctx, r)
	return o, !e.lost.Load()
}

func (e *entry) kill() {
	e.lost.Store(true)
	e.cancelHost(errHostLost)
}
