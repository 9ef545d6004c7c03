// Package entryhost implements the daemon of an entry host that forwards opaque requests.
// It connects the routes and upstreams that an adapter reads from the platform, the peer
// daemons, the scheduler of the stage upstreams, and the forwarder of requests.
//
// All stage work of the deployment is scheduled by one daemon, the owner of the stage
// work, for one term. The term is a number that increases with each change of owner. An
// incarnation is one run of a process.
//
//	d, err := entryhost.New(cfg)
//	d.SetTable(table, raw, source)
//	d.SetUpstreams(list)
//	err = d.Run(ctx)
package entryhost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"sequoiafork/internal/bytequota"
	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/forward"
	"sequoiafork/internal/hedge"
	"sequoiafork/internal/hostcapacity"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/peer"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/settings"
	"sequoiafork/internal/stageowner"
	"sequoiafork/internal/stagequarantine"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/streamorigin"
	"sequoiafork/internal/suspension"
	"sequoiafork/internal/topic"
	"sequoiafork/internal/upstream"
)

const (
	// heartbeatInterval and heartbeatTimeout are short enough to detect a dead daemon
	// before callers have tried it often.
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = 1600 * time.Millisecond
	// unreachableAfter is the time after which a daemon that was never reached is declared
	// dead. It allows for a daemon that starts a little later than the others.
	unreachableAfter = 2500 * time.Millisecond
	// probeInterval is the time between two probes of addresses without a live daemon.
	probeInterval = 500 * time.Millisecond
	// maxAddresses bounds the addresses that Resolve returns.
	maxAddresses = 64
	// unlimitedSubset exceeds the number of upstreams of any service. Requests that share
	// a prompt reach the same engine (model server) only if all daemons pick among all
	// engines.
	unlimitedSubset = 1 << 16
	// affinityBound is the load, as a multiple of the mean, above which an engine gets no
	// more requests because of the prompts that it has cached.
	affinityBound = 4
	// burstFraction and ratioFraction are the fractions of the deployment's retry burst
	// and retry ratio that the daemons use together. The rest is a reserve for daemons
	// that restart, since each starts with its full share of the burst.
	burstFraction = 0.5
	ratioFraction = 0.7
	// configurationTimeout and configurationFraction bound how long a request waits for the first
	// routes and upstreams after the start of the daemon. Those that wait longer are rejected, so
	// that the caller can use another daemon.
	configurationTimeout  = 1500 * time.Millisecond
	configurationFraction = 0.25
	// syncInterval is the time between two passes of syncLoop.
	syncInterval = 100 * time.Millisecond
)

// Config configures a Daemon. All fields but Memory, AwaitEvacuations and StreamLog are required.
type Config struct {
	Settings settings.Settings
	Logger   *zap.Logger
	// Memory is shared by the buffers of responses. Nil means a quota with the default size.
	Memory *bytequota.Quota
	// Client sends requests to upstreams, and Invoker runs stage work on them.
	Client  forward.UpstreamClient
	Invoker stagework.Invoker
	// DecodeTable decodes a table that was received from a peer.
	DecodeTable func(raw []byte) (*routing.Table, error)
	// AwaitEvacuations keeps all work from the upstreams until SetEvacuationsKnown is called.
	AwaitEvacuations bool
	// StreamLog keeps what is known of streams beyond the loss of all daemons. Nil means that nothing does.
	StreamLog StreamLog
}

// Daemon is the daemon of an entry host. It is safe for concurrent use.
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
	readers     *topic.Readers
	origins     origins
	quarantine  *sharedQuarantine
	rights      *coldstart.Rights
	daemonCount atomic.Int64
	draining    atomic.Bool
	// configured is closed once routes and upstreams are known, if only a part of the list, and
	// fullyConfigured once the whole list is known.
	configured          chan struct{}
	configuredOnce      sync.Once
	fullyConfigured     chan struct{}
	fullyConfiguredOnce sync.Once

	mu    sync.Mutex // guards the fields below, and serializes changes of table
	table atomic.Pointer[routing.Table]
	raw   []byte // encoded form of table, for peers
	hosts []upstream.Host
	// listComplete reports that hosts is a whole list of upstreams.
	listComplete bool
	// evacuated are the data centres whose upstreams get no work, with the end of the evacuation if it
	// is in doubt, and leaving the incarnations of upstreams that have said that they leave, with the
	// time when that was last of use.
	evacuated map[string]time.Time
	leaving   map[string]time.Time
	// evacuationsKnown reports that evacuated is complete, or need not be awaited.
	evacuationsKnown bool
	// cold knows which upstreams are cold.
	cold *coldstart.Ledger
}

// New returns a Daemon that listens on its peer address.
func New(cfg Config) (*Daemon, error) {
	listener, err := net.Listen("tcp", cfg.Settings.Daemon.PeerAddr)
	if err != nil {
		return nil, fmt.Errorf("[daemon] peer_addr: %w", err)
	}
	incarnation := ident.NewIncarnation(listener.Addr().String())
	d := &Daemon{
		cfg:             cfg,
		logger:          cfg.Logger.With(zap.String("incarnation", incarnation)),
		listener:        listener,
		started:         time.Now(),
		configured:      make(chan struct{}),
		fullyConfigured: make(chan struct{}),
		evacuated:       make(map[string]time.Time),
		leaving:         make(map[string]time.Time),
		cold:            coldstart.NewLedger(),
		rights:          coldstart.NewRights(time.Now()),

		evacuationsKnown: !cfg.AwaitEvacuations,
	}
	d.daemonCount.Store(1)
	d.quarantine = newSharedQuarantine(d)
	d.members = membership.New(membership.Config{
		Self: membership.Member{
			Incarnation:  incarnation,
			PeerAddr:     listener.Addr().String(),
			CallerAddr:   cfg.Settings.Daemon.CallerAddr,
			OperatorAddr: cfg.Settings.Daemon.OperatorAddr,
			DataCentre:   cfg.Settings.Daemon.DataCentre,
			Capacity:     hostcapacity.FromCores(cfg.Settings.Daemon.Cores),
		},
		Seeds:             cfg.Settings.Peers.Seeds,
		RandSeed:          ident.Hash(incarnation),
		HeartbeatInterval: heartbeatInterval,
		HeartbeatTimeout:  heartbeatTimeout,
		UnreachableAfter:  unreachableAfter,
		ProbeInterval:     probeInterval,
		ResolveTTL:        cfg.Settings.Drain.ResolveTTL,
		ResolveMax:        maxAddresses,
		OnNotice:          d.observePeerNotice,
		Evidence:          d.quarantine,
	})
	d.upstreams = upstream.New(upstream.Config{
		DataCentre: cfg.Settings.Daemon.DataCentre,
		Seed:       ident.Hash(incarnation),
		Self:       incarnation,
		SubsetSize: unlimitedSubset,
		// Engines are far from full, so processing a prompt again costs more than a
		// longer queue on the engine that has it cached.
		AffinityBound: affinityBound,
		Daemons:       d.daemonNames,
		Cold:          d.rights,
		OnLimit:       d.reportLimit,
		OnLeaving:     d.observeLeaving,
		Logger:        d.logger,
	})
	d.scheduler = stagework.New(stagework.Config{
		Invoker: stagequarantine.Invoker{
			Invoker:    cfg.Invoker,
			Quarantine: d.quarantine,
		},
		Self:       incarnation,
		FairShares: cfg.Settings.Admission.WorkspaceShares == settings.SharesFair,
		Cold:       d.rights,
		Logger:     d.logger,
	})
	streams := streamorigin.New(streamorigin.Config{})
	d.origins = origins{
		Table:  streams,
		daemon: d,
		log:    newOriginLog(d, streams, cfg.StreamLog),
	}
	d.node = peer.New(peer.Config{
		Listener: listener,
		Table:    d.members,
		LogReplica: tableRecords{
			daemon: d,
		},
		StageWorker: d.scheduler,
		Topics: topicServer{
			daemon: d,
		},
		Origins: d.origins,
		Logger:  d.logger,
	})
	d.submitter = &submitter{
		daemon: d,
	}
	d.submitter.addAddresses(stageowner.Addresses(cfg.Settings.Peers.Seeds))
	d.readers = d.newReaders()
	d.forwarder = forward.New(forward.Config{
		Client:     cfg.Client,
		Stages:     d.submitter,
		Upstreams:  d.upstreams,
		Origins:    d.origins,
		Quarantine: d.quarantine,
		Table:      d.table.Load,
		RetryRatio: ratioFraction * cfg.Settings.Retry.Ratio,
		RetryBurst: burstFraction * float64(cfg.Settings.Retry.Burst),
		Hedge: hedge.New(hedge.Config{
			ExtraWork: cfg.Settings.Hedge.ExtraWork,
		}),
		DaemonCount: func() int { return int(d.daemonCount.Load()) },
		Memory:      cfg.Memory,
		Logger:      d.logger,
	})
	return d, nil
}

// InFlight returns the number of requests in progress.
func (d *Daemon) InFlight() int { return d.forwarder.InFlight() }

// Serve forwards a request to an upstream and returns its outcome, as forward.Forwarder.Serve
// does. Right after the start of the daemon it waits for the first routes and upstreams, since
// callers that cached this daemon's address connect before it has read them.
func (d *Daemon) Serve(ctx context.Context, req forward.Request, w forward.ResponseWriter) outcome.Outcome {
	d.awaitConfiguration(ctx, req)
	return d.forwarder.Serve(ctx, req, w)
}

// awaitConfiguration waits until routes and upstreams are known, but no longer than
// configurationFraction of the request's time limit and until configurationTimeout after the
// start of the daemon. A request that takes up a stream needs the whole list, which tells the
// software versions at which the stream may have begun.
func (d *Daemon) awaitConfiguration(ctx context.Context, req forward.Request) {
	configured := d.configured
	if req.Resumes != "" || req.HasLastEvent {
		configured = d.fullyConfigured
	}
	select {
	case <-configured:
		return
	default:
	}
	wait := time.Until(d.started.Add(configurationTimeout))
	if req.TimeLimit > 0 {
		wait = min(wait, time.Duration(configurationFraction*float64(req.TimeLimit)))
	}
	if wait <= 0 {
		return
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-configured:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// Logger returns the logger, which adds this process's incarnation to each line.
func (d *Daemon) Logger() *zap.Logger { return d.logger }

// Table returns the routes in effect, or nil before any are known.
func (d *Daemon) Table() *routing.Table { return d.table.Load() }

// Ready reports whether this daemon accepts new callers: it knows routes and upstreams and
// is not draining.
func (d *Daemon) Ready() bool {
	select {
	case <-d.configured:
		return !d.draining.Load()
	default:
		return false
	}
}

// Draining reports whether the daemon is draining.
func (d *Daemon) Draining() bool { return d.draining.Load() }

// Drain begins to drain the daemon: no daemon returns its address from Resolve any more. This one stops that before it
// says that it is not ready, so that nobody is sent to a daemon that has said so. stop says when the requests end.
func (d *Daemon) Drain(stop forward.Stop) {
	d.members.SetLeaving()
	d.forwarder.StopAt(stop)
	if d.draining.Swap(true) {
		return
	}
	d.origins.AnnounceAll()
	d.logger.Info("draining", zap.Int("in_flight", d.forwarder.InFlight()))
}

// EndRequests ends the requests in progress with a final answer. Call it shortly before the process exits.
func (d *Daemon) EndRequests() { d.forwarder.EndRequests() }

// Resolve returns the addresses that a caller should use, and how long it may cache them.
func (d *Daemon) Resolve(caller, dataCentre string) ([]string, time.Duration) {
	return d.members.Resolve(caller, dataCentre)
}

// AddPeers adds addresses of peers, read from the platform.
func (d *Daemon) AddPeers(addrs []string) {
	d.AddListedPeers(stageowner.Addresses(addrs))
}

// AddListedPeers adds peers that the platform lists.
func (d *Daemon) AddListedPeers(list []stageowner.Address) {
	addrs := make([]string, len(list))
	for i, p := range list {
		addrs[i] = p.Addr
	}
	d.members.AddSeeds(addrs)
	d.submitter.addPlatformAddresses(list)
}

// Capacity returns the capacity of this daemon's host, as the settings state it.
func (d *Daemon) Capacity() hostcapacity.Capacity {
	return hostcapacity.FromCores(d.cfg.Settings.Daemon.Cores)
}

// PeerAddr returns the address on which this daemon listens for peers.
func (d *Daemon) PeerAddr() string { return d.listener.Addr().String() }

// Run communicates with the peers until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.node.Serve(ctx) })
	g.Go(func() error { return d.syncLoop(ctx) })
	g.Go(func() error { return d.coldLoop(ctx) })
	g.Go(func() error { return d.origins.announceLoop(ctx) })
	g.Go(func() error { return d.origins.log.run(ctx) })
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// syncLoop runs periodic tasks until ctx ends: it updates the number of daemons, fetches
// newer routes, acquires ownership of the stage work if this daemon is to be the owner,
// and hands off its jobs after it has lost ownership.
func (d *Daemon) syncLoop(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	owned := false
	var passes suspension.Detector
	for {
		d.submitter.yieldAfterSuspension(passes.Pass())
		n, _ := d.members.Count()
		if int64(n) != d.daemonCount.Swap(int64(max(n, 1))) {
			d.upstreams.SetDaemons(n)
			d.logger.Info("number of live daemons changed", zap.Int("alive", n), zap.String("stage_owner", d.submitter.owner().Incarnation))
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

// catchUp fetches newer routes from a neighbour that has them. A daemon that can't reach
// the platform gets its routes in this way.
func (d *Daemon) catchUp(ctx context.Context) {
	own := uint64(0)
	if t := d.table.Load(); t != nil {
		own = t.Version()
	}
	ahead := slices.ContainsFunc(d.members.LinkedMembers(), func(m membership.Member) bool { return m.Revision > own })
	if !ahead {
		return
	}
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := d.node.CatchUp(ctx, own)
	if err != nil || len(resp.GetSnapshot()) == 0 {
		d.logger.Info("can't fetch routes from a peer", zap.Uint64("own_version", own), zap.Error(err))
		return
	}
	t, err := d.cfg.DecodeTable(resp.GetSnapshot())
	if err != nil {
		d.logger.Warn("can't decode routes from a peer", zap.Error(err))
		return
	}
	d.SetTable(t, resp.GetSnapshot(), "peer")
}

// StageJobs returns the number of jobs in this daemon's stage scheduler, including those
// submitted by peers.
func (d *Daemon) StageJobs() int { return d.scheduler.Len() }
