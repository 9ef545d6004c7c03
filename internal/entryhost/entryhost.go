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
	heartbeat   = 400 * time.Millisecond
	silentAfter = 1600 * time.Millisecond
	// unreachableAfter covers a daemon that starts a little later than the others.
	unreachableAfter = 2500 * time.Millisecond
	// probeEvery is the time between two probes of addresses without a live daemon.
	probeEvery = 500 * time.Millisecond
	// maxAddresses bounds an answer to a caller that asks where to connect.
	maxAddresses = 64
	// allUpstreams is above the number of upstreams of any service: requests that
	// share a prompt meet on one engine only if all daemons choose among all engines.
	allUpstreams = 1 << 16
	// affinityBound is the load, as a multiple of the mean, above which an engine gets
	// no work for the prompts that it holds.
	affinityBound = 4
	// burstPart is the part of the deployment's burst of retries that the daemons use
	// together, and ratioPart that of its ratio. The rest is for the daemons that
	// start anew, each with a full part of the burst.
	burstPart = 0.5
	ratioPart = 0.7
	// followEvery is how often figures are taken over between parts.
	followEvery = 100 * time.Millisecond
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
	cfg       Config
	logger    *zap.Logger
	members   *membership.Table
	node      *peer.Node
	listener  net.Listener
	upstreams *upstream.Set
	scheduler *stagework.Scheduler
	forwarder *forward.Forwarder
	started   time.Time
	stages    *stages
	daemons   atomic.Int64
	leaving   atomic.Bool
	// listed says that a list of upstreams is known.
	listed atomic.Bool

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
	h := &Daemon{
		cfg:      cfg,
		logger:   cfg.Logger.With(zap.String("incarnation", incarnation)),
		listener: listener,
		started:  time.Now(),
	}
	h.daemons.Store(1)
	h.members = membership.New(membership.Config{
		Self: membership.Member{
			Incarnation:  incarnation,
			PeerAddr:     listener.Addr().String(),
			CallerAddr:   cfg.Settings.Daemon.CallerAddr,
			OperatorAddr: cfg.Settings.Daemon.OperatorAddr,
			DataCentre:   cfg.Settings.Daemon.DataCentre,
		},
		Seeds:            cfg.Settings.Peers.Seeds,
		RandSeed:         hash(incarnation),
		Heartbeat:        heartbeat,
		HeartbeatTimeout: silentAfter,
		UnreachableAfter: unreachableAfter,
		ProbeEvery:       probeEvery,
		ResolveTTL:       cfg.Settings.Drain.ResolveTTL,
		ResolveMax:       maxAddresses,
	})
	h.upstreams = upstream.New(upstream.Config{
		DataCentre: cfg.Settings.Daemon.DataCentre,
		Seed:       hash(incarnation),
		Self:       incarnation,
		SubsetSize: allUpstreams,
		// Engines are far from full, so reading a prompt again costs more than a
		// longer queue on the engine that holds it.
		AffinityBound: affinityBound,
	})
	h.scheduler = stagework.New(stagework.Config{
		Invoker: cfg.Invoker,
		Logger:  h.logger,
	})
	h.node = peer.New(peer.Config{
		Listener: listener,
		Table:    h.members,
		LogReplica: tableRecords{
			host: h,
		},
		StageWorker: h.scheduler,
		Logger:      h.logger,
	})
	h.stages = &stages{
		host: h,
	}
	h.stages.learn(cfg.Settings.Peers.Seeds)
	h.forwarder = forward.New(forward.Config{
		Caller:      cfg.Caller,
		Stages:      h.stages,
		Upstreams:   h.upstreams,
		Table:       h.table.Load,
		RetryRatio:  ratioPart * cfg.Settings.Retry.Ratio,
		RetryBurst:  burstPart * float64(cfg.Settings.Retry.Burst),
		DaemonCount: func() int { return int(h.daemons.Load()) },
		Logger:      h.logger,
	})
	return h, nil
}

// Forwarder returns the forwarder of requests.
func (h *Daemon) Forwarder() *forward.Forwarder { return h.forwarder }

// Logger returns the logger with the process's incarnation.
func (h *Daemon) Logger() *zap.Logger { return h.logger }

// Table returns the routes in force, or nil before any are known.
func (h *Daemon) Table() *routing.Table { return h.table.Load() }

// Ready reports whether this daemon takes new callers.
// It needs routes and upstreams for that.
func (h *Daemon) Ready() bool {
	return h.table.Load() != nil && h.listed.Load() && !h.leaving.Load()
}

// Leaving reports whether a graceful stop has begun.
func (h *Daemon) Leaving() bool { return h.leaving.Load() }

// Leave begins a graceful stop: all daemons leave this one out of their answers.
func (h *Daemon) Leave() {
	if h.leaving.Swap(true) {
		return
	}
	h.members.SetLeaving()
	h.logger.Info("graceful stop begins", zap.Int("in_flight", h.forwarder.InFlight()))
}

// Resolve returns the addresses that a caller should use, and for how long.
func (h *Daemon) Resolve(caller, dataCentre string) ([]string, time.Duration) {
	return h.members.Resolve(caller, dataCentre)
}

// AddPeers adds addresses to find other daemons by.
func (h *Daemon) AddPeers(addrs []string) {
	h.members.AddSeeds(addrs)
	h.stages.inform(addrs)
}

// PeerAddr returns the address for the other daemons.
func (h *Daemon) PeerAddr() string { return h.listener.Addr().String() }

// SetTable puts newer routes in force. Older ones are ignored, so that a daemon never
// goes back. raw is what other daemons are given.
func (h *Daemon) SetTable(t *routing.Table, raw []byte, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.table.Load()
	if old != nil && old.Version() >= t.Version() {
		return
	}
	h.raw = raw
	h.table.Store(t)
	h.scheduler.SetServices(t.Services())
	h.applyUpstreams()
	h.tellProgress()
	h.logger.Info("routes in force", zap.Uint64("config_version", t.Version()), zap.String("source", source))
}

// SetUpstreams takes over the upstreams that are there.
func (h *Daemon) SetUpstreams(list []upstream.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logUpstreams(list)
	h.hosts = list
	h.applyUpstreams()
	h.listed.Store(true)
	h.tellProgress()
}

// tellProgress tells the other daemons which routes are in force here, once this daemon
// can serve by them.
func (h *Daemon) tellProgress() {
	if t := h.table.Load(); t != nil && h.listed.Load() {
		h.members.SetProgress(t.Version(), t.Version())
	}
}

// logUpstreams logs what a new list changes.
func (h *Daemon) logUpstreams(list []upstream.Host) {
	gone := make(map[upstream.Host]bool, len(h.hosts))
	for _, u := range h.hosts {
		gone[u] = true
	}
	for _, u := range list {
		if gone[u] {
			delete(gone, u)
			continue
		}
		h.logger.Info("upstream listed", zap.String("upstream", u.Incarnation), zap.String("addr", u.Addr),
			zap.String("service", u.Service), zap.String("data_centre", u.DataCentre), zap.String("state", u.State.String()))
	}
	for u := range gone {
		h.logger.Info("upstream no longer listed so", zap.String("upstream", u.Incarnation), zap.String("state", u.State.String()))
	}
}

// applyUpstreams tells the parts which upstreams there are. The lock is held.
func (h *Daemon) applyUpstreams() {
	h.upstreams.Replace(h.hosts)
	var workers []stagework.Upstream
	for _, u := range h.hosts {
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
	h.scheduler.SetUpstreams(workers)
}

// Run speaks with the other daemons until ctx ends.
func (h *Daemon) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.node.Serve(ctx) })
	g.Go(func() error { return h.follow(ctx) })
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// follow keeps the figures up to date that parts take from each other.
func (h *Daemon) follow(ctx context.Context) error {
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()
	owned := false
	for {
		n, _ := h.members.Count()
		if int64(n) != h.daemons.Swap(int64(max(n, 1))) {
			h.upstreams.SetDaemons(n)
			h.logger.Info("daemons", zap.Int("alive", n), zap.String("stage_owner", h.stages.owner().Incarnation))
		}
		h.catchUp(ctx)
		h.stages.take()
		owns := h.stages.owns()
		if owned && !owns {
			h.scheduler.HandOffJobs()
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
func (h *Daemon) catchUp(ctx context.Context) {
	own := uint64(0)
	if t := h.table.Load(); t != nil {
		own = t.Version()
	}
	ahead := slices.ContainsFunc(h.members.Neighbours(), func(m membership.Member) bool { return m.Revision > own })
	if !ahead {
		return
	}
	const patience = time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	resp, err := h.node.CatchUp(ctx, own)
	if err != nil || len(resp.GetSnapshot()) == 0 {
		h.logger.Info("routes not fetched from a peer", zap.Uint64("own_version", own), zap.Error(err))
		return
	}
	t, err := h.cfg.DecodeTable(resp.GetSnapshot())
	if err != nil {
		h.logger.Warn("routes of a peer can't be read", zap.Error(err))
		return
	}
	h.SetTable(t, resp.GetSnapshot(), "peer")
}

func hash(s string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(s))
	return f.Sum64()
}

// StageJobs returns the number of jobs that this daemon's stage scheduler holds, its
// own and those of other daemons.
func (h *Daemon) StageJobs() int { return h.scheduler.Len() }
