package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"sequoiafork/internal/completion"
	"sequoiafork/internal/confsync"
	"sequoiafork/internal/placement"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

const (
	placementLeaseName = "placement"
	placementInterval  = 2 * time.Second
	// stateTimeout bounds reading the state of the engines of one service, and
	// assignmentTimeout sending one model assignment.
	stateTimeout      = time.Second
	assignmentTimeout = time.Minute
	// maxConcurrentLoads bounds how many engines load a model at a time, and so the load on
	// the weight store.
	maxConcurrentLoads = 2
	// A round is one run of the placement, every placementInterval. In a round and for each
	// service, at most maxVerifiesPerRound engines are read that had exactly the wanted models
	// loaded when last read, and at most maxReadsPerRound of the others.
	maxVerifiesPerRound = 4
	maxReadsPerRound    = 16
)

var (
	assignmentsTotal       = metrics.GetOrCreateCounter("sequoiafork_placement_orders_total")
	assignmentsFencedTotal = metrics.GetOrCreateCounter("sequoiafork_placement_orders_fenced_total")
)

// placer assigns models to engines while this process holds the placement lease.
type placer struct {
	daemon *Daemon
	client *completion.Client
	lease  *confsync.LeaseHolder

	mu       sync.Mutex
	pending  map[string]bool // addresses of engines with an assignment in flight
	observed map[string]engineObservation
}

// engineObservation is the list of models that an engine had loaded when it was last
// read.
type engineObservation struct {
	loaded []string
	at     time.Time
}

func newPlacer(d *Daemon, engines *completion.Client) *placer {
	return &placer{
		daemon: d,
		client: engines,
		lease: confsync.NewLeaseHolder(confsync.LeaseHolderConfig{
			Log:     d.log,
			Machine: d.machine,
			Name:    placementLeaseName,
			Holder:  d.incarnation,
			TTL:     d.settings.Platform.PlacementLease,
			Logger:  d.logger,
		}),
		pending:  make(map[string]bool),
		observed: make(map[string]engineObservation),
	}
}

// run places models until ctx ends. Without a weight store it does nothing.
func (p *placer) run(ctx context.Context) error {
	if p.daemon.settings.Platform.WeightStoreAddr == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.lease.Run(ctx) })
	g.Go(func() error {
		ticker := time.NewTicker(placementInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				p.round(ctx)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
	return g.Wait()
}

// round reads the state of the engines and sends the assignments that are due.
func (p *placer) round(ctx context.Context) {
	if _, held := p.lease.Held(); !held || !p.daemon.machine.Ready() {
		p.clearObservations()
		return
	}
	for _, assignment := range placement.Next(p.services(ctx), maxConcurrentLoads) {
		p.setPending(assignment.Addr, true)
		go func() {
			defer p.setPending(assignment.Addr, false)
			p.sendAssignment(ctx, assignment)
		}()
	}
}

// sendAssignment sends one model assignment. The lease is checked just before, so that a
// process that was suspended sends a stale assignment only if the suspension fell between
// the check and the sending.
func (p *placer) sendAssignment(ctx context.Context, assignment placement.ModelAssignment) {
	ctx, stop := context.WithTimeout(ctx, assignmentTimeout)
	defer stop()
	fencingToken, held := p.lease.Held()
	if !held {
		return
	}
	assignmentsTotal.Inc()
	err := p.client.SetModels(ctx, assignment.Addr, assignment.Models, fencingToken, p.daemon.incarnation)
	if err == nil {
		return
	}
	if _, fenced := err.(*completion.FencedError); fenced {
		assignmentsFencedTotal.Inc()
	}
	p.daemon.logger.Warn("model assignment failed", zap.String("upstream", assignment.Addr), zap.Strings("models", assignment.Models), zap.Error(err))
}

// setPending records whether an assignment to an engine is in flight, and drops what was
// observed of the engine, since the assignment changes it.
func (p *placer) setPending(addr string, pending bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.observed, addr)
	if pending {
		p.pending[addr] = true
		return
	}
	delete(p.pending, addr)
}

// clearObservations drops the observed engine states. It is called while this process
// doesn't hold the lease.
func (p *placer) clearObservations() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.observed)
}

// services returns the engines that could be read, by service, with the models that the
// pools on them want. An engine that could not be read gets no assignment.
func (p *placer) services(ctx context.Context) []placement.Service {
	wanted := make(map[string][]string)
	var names []string
	for _, row := range p.daemon.machine.Tables().Pools() {
		if row.Value.Kind != table.KindEngine {
			continue
		}
		if !slices.Contains(names, row.Value.Service) {
			names = append(names, row.Value.Service)
		}
		for _, m := range row.Value.Models {
			if !slices.Contains(wanted[row.Value.Service], m) {
				wanted[row.Value.Service] = append(wanted[row.Value.Service], m)
			}
		}
	}
	services := make([]placement.Service, len(names))
	for i, name := range names {
		services[i] = placement.Service{
			Name:    name,
			Wanted:  wanted[name],
			Engines: p.engines(ctx, name, wanted[name]),
		}
	}
	return services
}

// engines returns the engines of a service as they were last read. It first reads some that
// may not have exactly the wanted models, and a few of the others, each group starting with
// the engines whose last observation is the oldest.
func (p *placer) engines(ctx context.Context, service string, wanted []string) []placement.Engine {
	var addrs []string
	for _, u := range p.daemon.upstreams.Upstreams() {
		if u.Service == service && u.State == upstream.Live {
			addrs = append(addrs, u.Addr)
		}
	}
	p.readStates(ctx, p.enginesToRead(addrs, wanted))
	p.mu.Lock()
	defer p.mu.Unlock()
	var engines []placement.Engine
	for _, addr := range addrs {
		if obs, ok := p.observed[addr]; ok || p.pending[addr] {
			engines = append(engines, placement.Engine{
				Addr:              addr,
				LoadedModels:      obs.loaded,
				AssignmentPending: p.pending[addr],
			})
		}
	}
	return engines
}

// enginesToRead returns the addresses of the engines to read in this round, leaving out
// those with an assignment in flight.
func (p *placer) enginesToRead(addrs, wanted []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var incomplete, complete []string
	for _, addr := range addrs {
		switch obs, ok := p.observed[addr]; {
		case p.pending[addr]:
		case ok && sameSet(obs.loaded, wanted):
			complete = append(complete, addr)
		default:
			incomplete = append(incomplete, addr)
		}
	}
	oldest := func(a, b string) int { return p.observed[a].at.Compare(p.observed[b].at) }
	slices.SortFunc(incomplete, oldest)
	slices.SortFunc(complete, oldest)
	return append(incomplete[:min(len(incomplete), maxReadsPerRound)], complete[:min(len(complete), maxVerifiesPerRound)]...)
}

// readStates reads the state of engines. An engine that does not respond is left out until
// it does.
func (p *placer) readStates(ctx context.Context, addrs []string) {
	ctx, stop := context.WithTimeout(ctx, stateTimeout)
	defer stop()
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			loaded, err := p.client.Models(ctx, addr)
			p.mu.Lock()
			defer p.mu.Unlock()
			if err != nil {
				delete(p.observed, addr)
				return
			}
			p.observed[addr] = engineObservation{
				loaded: loaded,
				at:     time.Now(),
			}
		})
	}
	wg.Wait()
}

// sameSet reports whether a and b hold the same elements, given that neither has
// duplicates.
func sameSet(a, b []string) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m string) bool { return !slices.Contains(b, m) })
}
