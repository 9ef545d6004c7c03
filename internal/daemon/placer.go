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
)

var (
	ordersTotal = metrics.GetOrCreateCounter("sequoiafork_placement_orders_total")
	ordersOld   = metrics.GetOrCreateCounter("sequoiafork_placement_orders_fenced_total")
)

// placer orders models to engines while this process holds the placement lease.
type placer struct {
	daemon  *Daemon
	engines *completion.Client
	leaser  *confsync.Leaser

	mu   sync.Mutex
	open map[string]bool // addresses of engines with an open order
}

func newPlacer(d *Daemon, engines *completion.Client) *placer {
	return &placer{
		daemon:  d,
		engines: engines,
		leaser: confsync.NewLeaser(confsync.LeaserConfig{
			Log:     d.log,
			Machine: d.machine,
			Name:    placementLease,
			Holder:  d.incarnation,
			TTL:     d.settings.Platform.PlacementLease,
			Logger:  d.logger,
		}),
		open: make(map[string]bool),
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
	err := p.engines.Order(ctx, o.Addr, o.Models, fencing, p.daemon.incarnation)
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
	if open {
		p.open[addr] = true
		return
	}
	delete(p.open, addr)
}

func (p *placer) isOpen(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[addr]
}

// services returns the engines that could be read, by service, with the models that
// the pools on them want. An engine that could not be read gets no order.
func (p *placer) services(ctx context.Context) []placement.Service {
	wanted := make(map[string][]string)
	var names []string
	for _, row := range p.daemon.machine.Tables().Pools() {
		if row.Value.Kind != table.Engine {
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
			Engines: p.read(ctx, name),
		}
	}
	return services
}

func (p *placer) read(ctx context.Context, service string) []placement.Engine {
	ctx, stop := context.WithTimeout(ctx, stateTimeout)
	defer stop()
	var mu sync.Mutex
	var engines []placement.Engine
	var g errgroup.Group
	for _, u := range p.daemon.upstreams.Upstreams() {
		if u.Service != service || u.State != upstream.Live {
			continue
		}
		g.Go(func() error {
			held, err := p.engines.Models(ctx, u.Addr)
			if err != nil {
				return nil // read again in the next round
			}
			mu.Lock()
			defer mu.Unlock()
			engines = append(engines, placement.Engine{
				Addr: u.Addr,
				Held: held,
				Open: p.isOpen(u.Addr),
			})
			return nil
		})
	}
	_ = g.Wait()
	return engines
}
