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
	lost     atomic.Bool
	alive    context.Context
	kill     context.CancelCauseFunc
	set      *upstream.Set
	executor *pipeline.Executor
}

func newEntry(cfg Config, i int, f *fleet, p *player) *entry {
	e := &entry{}
	e.alive, e.kill = context.WithCancelCause(context.Background())
	up := cfg.Policy.Upstream
	up.DataCentre = cfg.Deployment.DataCentres[i%len(cfg.Deployment.DataCentres)]
	up.Seed = cfg.Seed + uint64(i)
	up.Self = fmt.Sprintf("entry-%d", i)
	up.OnStateChange = func(addr string, st upstream.State) { p.gossip(e, addr, st) }
	e.set = upstream.New(up)
	e.set.Replace(cfg.Deployment.Hosts())
	var reuseFor time.Duration
	if cfg.Policy.NoReuse {
		reuseFor = time.Nanosecond
	}
	e.executor = pipeline.New(pipeline.Config{
		Engines:   f,
		Services:  f,
		Upstreams: e.set,
		Admission: admission.New(cfg.Policy.Admission),
		Times:     stagetime.New(stagetime.Config{}),
		Budget:    cfg.Policy.Budget,
		Daemons:   p.living,
		NoHedge:   cfg.Policy.NoHedge,
		ReuseTTL:  reuseFor,
	})
	return e
}

// run runs r, and reports false if the host was lost meanwhile.
func (e *entry) run(r pipeline.Request) (outcome.Outcome, bool) {
	ctx, cancel := context.WithCancelCause(e.alive)
	defer cancel(nil)
	o, _ := e.executor.Run(ctx, r)
	return o, !e.lost.Load()
}

func (e *entry) lose() {
	e.lost.Store(true)
	e.kill(errHostLost)
}
