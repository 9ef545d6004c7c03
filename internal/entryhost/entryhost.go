// Package entryhost is the daemon of an entry host that forwards opaque requests. It
// joins the parts: routes and upstreams that an adapter follows on the platform, the
// other daemons, the owner of the stage upstreams, and the forwarder of requests.
//
//	h, err := entryhost.New(cfg)
//	h.SetTable(table, raw)
//	h.SetUpstreams(list)
//	err = h.Run(ctx)
package entryhost

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/peer"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/settings"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/upstream"
)

const (
	// heartbeat and silentAfter find a dead daemon before callers have tried it often.
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = 1600 * time.Millisecond
	// unreachableAfter covers a daemon that starts a little later than the others.
	unreachableAfter = 2500 * time.Millisecond
	// probeEvery is the time between two probes of addresses without a live daemon.
	probeInterval = 500 * time.Millisecond
	// maxAddresses bounds an answer to a caller that asks where to connect.
	maxAddresses = 64
	// allUpstreams is above the number of upstreams of any service: requests that
	// share a prompt meet on one engine only if all daemons choose among all engines.
	unlimitedSubset = 1 << 16
	// affinityBound is the load, as a multiple of the mean, above which an engine gets
	// no work for the prompts that it holds.
	affinityBound = 4
	// burstPart is the part of the deployment's burst of retries that the daemons use
	// together, and ratioPart that of its ratio. The rest is for the daemons that
	// start anew, each with a full part of the burst.
	burstFraction = 0.5
	ratioFraction = 0.7
	// followEvery is how often figures are taken over between parts.
	syncInterval = 100 * time.Millisecond
)

// Config configures a Host. All fields are required.
type Config struct {
	Settings settings.Settings
	Logger   *zap.Logger
	// Caller and Invoker speak with the upstreams.
	Caller  forward.Caller
	Invoker stagework.Invoker
	// DecodeTable reads a table that another daemon has passed on.
	DecodeTable func(raw []byte) (*routing.Table, error)
}

// Daemon is one daemon. It is safe for concurrent use.
type Daemon struct {
	cfg         Config
	logger      *zap.Logger
	members     *membership.Table
	node        *peer.Node
	listener    net.Listener
	upstreams   *upstream.Set
	scheduler   *stagework.Scheduler
	forwarder   *forward.Forwarder
	started     time.Time
	submitter   *submitter
	daemonCount atomic.Int64
	draining    atomic.Bool
	// listed says that a list of upstreams is known.
	upstreamsKnown atomic.Bool

	mu    sync.Mutex // orders the changes of table and raw
	table atomic.Pointer[routing.Table]
	raw   []byte
	hosts []upstream.Host
}

// New builds a host and binds its address for the other daemons.
func New(cfg Config) (*Daemon, error) {
	listener, err := net.Listen("tcp", cfg.Settings.Daemon.PeerAddr)
	if err != nil {
		return nil, fmt.Errorf("[daemon] peer_addr: %w", err)
	}
	incarnation := ident.NewIncarnation(listener.Addr().String())
	d := &Daemon{
		cfg:      cfg,
		logger:   cfg.Logger.With(zap.String("incarnation", incarnation)),
		listener: listener,
		started:  time.Now(),
	}
	d.daemonCount.Store(1)
	d.members = membership.New(membership.Config{
		Self: membership.Member{
			Incarnation:  incarnation,
			PeerAddr:     listener.Addr().String(),
			CallerAddr:   cfg.Settings.Daemon.CallerAddr,
			OperatorAddr: cfg.Settings.Daemon.OperatorAddr,
			DataCentre:   cfg.Settings.Daemon.DataCentre,
		},
		Seeds:            cfg.Settings.Peers.Seeds,
		RandSeed:         hash(incarnation),
		Heartbeat:        heartbeatInterval,
		HeartbeatTimeout: heartbeatTimeout,
		UnreachableAfter: unreachableAfter,
		ProbeEvery:       probeInterval,
		ResolveTTL:       cfg.Settings.Drain.ResolveTTL,
		ResolveMax:       maxAddresses,
	})
	d.upstreams = upstream.New(upstream.Config{
		DataCentre: cfg.Settings.Daemon.DataCentre,
		Seed:       hash(incarnation),
		Self:       incarnation,
		SubsetSize: unlimitedSubset,
		// Engines are far from full, so reading a prompt again costs more than a
		// longer queue on the engine that holds it.
		AffinityBound: affinityBound,
	})
	d.scheduler = stagework.New(stagework.Config{
		Invoker: cfg.Invoker,
		Logger:  d.logger,
	})
	d.node = peer.New(peer.Config{
		Listener: listener,
		Table:    d.members,
		LogReplica: tableRecords{
			host: d,
		},
		StageWorker: d.scheduler,
		Logger:      d.logger,
	})
	d.submitter = &submitter{
		host: d,
	}
	d.submitter.addAddresses(cfg.Settings.Peers.Seeds)
	d.forwarder = forward.New(forward.Config{
		Caller:      cfg.Caller,
		Stages:      d.submitter,
		Upstreams:   d.upstreams,
		Table:       d.table.Load,
		RetryRatio:  ratioFraction * cfg.Settings.Retry.Ratio,
		RetryBurst:  burstFraction * float64(cfg.Settings.Retry.Burst),
		DaemonCount: func() int { return int(d.daemonCount.Load()) },
		Logger:      d.logger,
	})
	return d, nil
}

// Forwarder returns the forwarder of requests.
func (d *Daemon) Forwarder() *forward.Forwarder { return d.forwarder }

// Logger returns the logger with the process's incarnation.
func (d *Daemon) Logger() *zap.Logger { return d.logger }

// Table returns the routes in force, or nil before any are known.
func (d *Daemon) Table() *routing.Table { return d.table.Load() }

// Ready reports whether this daemon takes new callers.
// It needs routes and upstreams for that.
func (d *Daemon) Ready() bool {
	return d.table.Load() != nil && d.upstreamsKnown.Load() && !d.draining.Load()
}

// Leaving reports whether a graceful stop has begun.
func (d *Daemon) Leaving() bool { return d.draining.Load() }

// Leave begins a graceful stop: all daemons leave this one out of their answers.
func (d *Daemon) Leave() {
	if d.draining.Swap(true) {
		return
	}
	d.members.SetLeaving()
	d.logger.Info("graceful stop begins", zap.Int("in_flight", d.forwarder.InFlight()))
}

// Resolve returns the addresses that a caller should use, and for how long.
func (d *Daemon) Resolve(caller, dataCentre string) ([]string, time.Duration) {
	return d.members.Resolve(caller, dataCentre)
}

// AddPeers adds addresses to find other daemons by.
func (d *Daemon) AddPeers(addrs []string) {
	d.members.AddSeeds(addrs)
	d.submitter.addPlatformAddresses(addrs)
}

// PeerAddr returns the address for the other daemons.
func (d *Daemon) PeerAddr() string { return d.listener.Addr().String() }

// SetTable puts newer routes in force. Older ones are ignored, so that a daemon never
// goes back. raw is what other daemons are given.
func (d *Daemon) SetTable(t *routing.Table, raw []byte, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.table.Load()
	if old != nil && old.Version() >= t.Version() {
		return
	}
	d.raw = raw
	d.table.Store(t)
	d.scheduler.SetServices(t.Services())
	d.applyUpstreams()
	d.reportProgress()
	d.logger.Info("routes in force", zap.Uint64("config_version", t.Version()), zap.String("source", source))
}

// SetUpstreams takes over the upstreams that are there.
func (d *Daemon) SetUpstreams(list []upstream.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logUpstreams(list)
	d.hosts = list
	d.applyUpstreams()
	d.upstreamsKnown.Store(true)
	d.reportProgress()
}

// tellProgress tells the other daemons which routes are in force here, once this daemon
// can serve by them.
func (d *Daemon) reportProgress() {
	if t := d.table.Load(); t != nil && d.upstreamsKnown.Load() {
		d.members.SetProgress(t.Version(), t.Version())
	}
}

// logUpstreams logs what a new list changes.
func (d *Daemon) logUpstreams(list []upstream.Host) {
	removed := make(map[upstream.Host]bool, len(d.hosts))
	for _, u := range d.hosts {
		removed[u] = true
	}
	for _, u := range list {
		if removed[u] {
			delete(removed, u)
			continue
		}
		d.logger.Info("upstream listed", zap.String("upstream", u.Incarnation), zap.String("addr", u.Addr),
			zap.String("service", u.Service), zap.String("data_centre", u.DataCentre), zap.String("state", u.State.String()))
	}
	for u := range removed {
		d.logger.Info("upstream no longer listed so", zap.String("upstream", u.Incarnation), zap.String("state", u.State.String()))
	}
}

// applyUpstreams tells the parts which upstreams there are. The lock is held.
func (d *Daemon) applyUpstreams() {
	d.upstreams.Replace(d.hosts)
	var workers []stagework.Upstream
	for _, u := range d.hosts {
		if u.State != upstream.Live {
			continue
		}
		workers = append(workers, stagework.Upstream{
			Incarnation: u.Incarnation,
			Addr:        u.Addr,
			DataCentre:  u.DataCentre,
			Service:     u.Service,
		})
	}
	d.scheduler.SetUpstreams(workers)
}

// Run speaks with the other daemons until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.node.Serve(ctx) })
	g.Go(func() error { return d.syncLoop(ctx) })
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// follow keeps the figures up to date that parts take from each other.
func (d *Daemon) syncLoop(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	owned := false
	for {
		n, _ := d.members.Count()
		if int64(n) != d.daemonCount.Swap(int64(max(n, 1))) {
			d.upstreams.SetDaemons(n)
			d.logger.Info("daemons", zap.Int("alive", n), zap.String("stage_owner", d.submitter.owner().Incarnation))
		}
		d.catchUp(ctx)
		d.submitter.acquireOwnership()
		owns := d.submitter.owns()
		if owned && !owns {
			d.scheduler.HandOffJobs()
		}
		owned = owns
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// catchUp fetches newer routes from a neighbour that has them. It covers a daemon
// that the platform does not serve.
func (d *Daemon) catchUp(ctx context.Context) {
	own := uint64(0)
	if t := d.table.Load(); t != nil {
		own = t.Version()
	}
	ahead := slices.ContainsFunc(d.members.Neighbours(), func(m membership.Member) bool { return m.Revision > own })
	if !ahead {
		return
	}
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := d.node.CatchUp(ctx, own)
	if err != nil || len(resp.GetSnapshot()) == 0 {
		d.logger.Info("routes not fetched from a peer", zap.Uint64("own_version", own), zap.Error(err))
		return
	}
	t, err := d.cfg.DecodeTable(resp.GetSnapshot())
	if err != nil {
		d.logger.Warn("routes of a peer can't be read", zap.Error(err))
		return
	}
	d.SetTable(t, resp.GetSnapshot(), "peer")
}

func hash(s string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(s))
	return f.Sum64()
}

// StageJobs returns the number of jobs that this daemon's stage scheduler holds, its
// own and those of other daemons.
func (d *Daemon) StageJobs() int { return d.scheduler.Len() }
