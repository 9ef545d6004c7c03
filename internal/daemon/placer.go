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
	placementLease = "placement"
	placementEvery = 2 * time.Second
	// stateTimeout bounds the reading of one engine's state, and orderTimeout one order.
	stateTimeout = time.Second
	orderTimeout = time.Minute
	// loadsAtOnce bounds what is asked of the weight store at a time.
	loadsAtOnce = 2
	// verifyEach is how many engines that should be right are read again each round,
	// and readsEach how many of the others.
	verifyEach = 4
	readsEach  = 16
)

var (
	ordersTotal = metrics.GetOrCreateCounter("sequoiafork_placement_orders_total")
	ordersOld   = metrics.GetOrCreateCounter("sequoiafork_placement_orders_fenced_total")
)

// placer orders models to engines while this process holds the placement lease.
type placer struct {
	daemon *Daemon
	client *completion.Client
	leaser *confsync.LeaseHolder

	mu   sync.Mutex
	open map[string]bool // addresses of engines with an open order
	seen map[string]engineSight
}

// engineSight is what an engine held when it was last read.
type engineSight struct {
	held []string
	at   time.Time
}

func newPlacer(d *Daemon, engines *completion.Client) *placer {
	return &placer{
		daemon: d,
		client: engines,
		leaser: confsync.NewLeaseHolder(confsync.LeaseHolderConfig{
			Log:     d.log,
			Machine: d.machine,
			Name:    placementLease,
			Holder:  d.incarnation,
			TTL:     d.settings.Platform.PlacementLease,
			Logger:  d.logger,
		}),
		open: make(map[string]bool),
		seen: make(map[string]engineSight),
	}
}

// run places models until ctx ends. Without a weight store it does nothing.
func (p *placer) run(ctx context.Context) error {
	if p.daemon.settings.Platform.WeightStoreAddr == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.leaser.Run(ctx) })
	g.Go(func() error {
		ticker := time.NewTicker(placementEvery)
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

// round reads what the engines hold and gives the orders that are due.
func (p *placer) round(ctx context.Context) {
	if _, held := p.leaser.Held(); !held || !p.daemon.machine.Ready() {
		p.forget()
		return
	}
	for _, o := range placement.Next(p.services(ctx), loadsAtOnce) {
		p.setOpen(o.Addr, true)
		go func() {
			defer p.setOpen(o.Addr, false)
			p.give(ctx, o)
		}()
	}
}

// give sends one order. The lease is looked at just before, so that a process that
// stood still gives an order only if it stood still between that and the sending.
func (p *placer) give(ctx context.Context, o placement.Order) {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	fencing, held := p.leaser.Held()
	if !held {
		return
	}
	ordersTotal.Inc()
	err := p.client.SetModels(ctx, o.Addr, o.Models, fencing, p.daemon.incarnation)
	if err == nil {
		return
	}
	if _, fenced := err.(*completion.FencedError); fenced {
		ordersOld.Inc()
	}
	p.daemon.logger.Warn("order not carried out", zap.String("upstream", o.Addr), zap.Strings("models", o.Models), zap.Error(err))
}

func (p *placer) setOpen(addr string, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.seen, addr)
	if open {
		p.open[addr] = true
		return
	}
	delete(p.open, addr)
}

// forget drops what was seen of engines while this process holds no lease.
func (p *placer) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.seen)
}

// services returns the engines that could be read, by service, with the models that
// the pools on them want. An engine that could not be read gets no order.
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

// engines returns the engines of a service as they were last read. Those that may
// lack a model are read again first, and of the others a few, the oldest sight first.
func (p *placer) engines(ctx context.Context, service string, wanted []string) []placement.Engine {
	var addrs []string
	for _, u := range p.daemon.upstreams.Upstreams() {
		if u.Service == service && u.State == upstream.Live {
			addrs = append(addrs, u.Addr)
		}
	}
	p.read(ctx, p.due(addrs, wanted))
	p.mu.Lock()
	defer p.mu.Unlock()
	var engines []placement.Engine
	for _, addr := range addrs {
		if sight, ok := p.seen[addr]; ok || p.open[addr] {
			engines = append(engines, placement.Engine{
				Addr:         addr,
				LoadedModels: sight.held,
				OrderPending: p.open[addr],
			})
		}
	}
	return engines
}

// due returns the addresses to read in this round.
func (p *placer) due(addrs, wanted []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lacking, right []string
	for _, addr := range addrs {
		switch sight, ok := p.seen[addr]; {
		case p.open[addr]:
		case ok && sameSet(sight.held, wanted):
			right = append(right, addr)
		default:
			lacking = append(lacking, addr)
		}
	}
	oldest := func(a, b string) int { return p.seen[a].at.Compare(p.seen[b].at) }
	slices.SortFunc(lacking, oldest)
	slices.SortFunc(right, oldest)
	return append(lacking[:min(len(lacking), readsEach)], right[:min(len(right), verifyEach)]...)
}

// read reads the state of engines. One that does not answer is left out until it does.
func (p *placer) read(ctx context.Context, addrs []string) {
	ctx, stop := context.WithTimeout(ctx, stateTimeout)
	defer stop()
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			held, err := p.client.Models(ctx, addr)
			p.mu.Lock()
			defer p.mu.Unlock()
			if err != nil {
				delete(p.seen, addr)
				return
			}
			p.seen[addr] = engineSight{
				held: held,
				at:   time.Now(),
			}
		})
	}
	wg.Wait()
}

func sameSet(a, b []string) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m string) bool { return !slices.Contains(b, m) })
}
