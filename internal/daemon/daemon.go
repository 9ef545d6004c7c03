// Package daemon assembles and runs the components of sequoiaforkd. An incarnation is one
// run of the process; a restart is a new incarnation.
//
//	d, err := daemon.New(daemon.Config{Settings: s, Logger: logger})
//	err = d.Run(ctx)
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"sequoiafork/internal/admission"
	"sequoiafork/internal/budget"
	"sequoiafork/internal/bytequota"
	"sequoiafork/internal/callerhttp"
	"sequoiafork/internal/completion"
	"sequoiafork/internal/confsync"
	"sequoiafork/internal/fold"
	"sequoiafork/internal/freshness"
	"sequoiafork/internal/hostcapacity"
	"sequoiafork/internal/hostlist"
	"sequoiafork/internal/idempotency"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/invoke"
	"sequoiafork/internal/logservice"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/peer"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/request"
	"sequoiafork/internal/settings"
	"sequoiafork/internal/stagetime"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// Config configures a Daemon.
type Config struct {
	Settings settings.Settings
	Logger   *zap.Logger
}

// Daemon is one sequoiaforkd process: its listeners, its copy of the state that is built
// from the platform's log, and the service that handles requests.
type Daemon struct {
	settings    settings.Settings
	logger      *zap.Logger
	incarnation string
	started     time.Time

	machine   *fold.StateMachine
	log       *logservice.Client
	syncer    *confsync.Syncer
	editor    *confsync.Editor
	members   *membership.Table
	node      *peer.Node
	hostList  *hostlist.Poller
	upstreams *upstream.Set
	claimer   *idempotency.LogClaimer
	executor  *pipeline.Executor
	service   *request.Service
	registry  *idempotency.Registry
	placer    *placer
	services  *invoke.Client

	callerListener   net.Listener
	operatorListener net.Listener
	peerListener     net.Listener

	daemonCount    atomic.Int64
	lifecycle      atomic.Int32 // a lifecycleState
	drainOnce      sync.Once
	drainRequested chan struct{}
}

// New builds a daemon and binds its addresses. It opens no outgoing connection before
// Run.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{
		settings:       cfg.Settings,
		logger:         cfg.Logger,
		started:        time.Now(),
		drainRequested: make(chan struct{}),
	}
	if err := d.bind(); err != nil {
		return nil, err
	}
	if err := d.build(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) bind() error {
	var err error
	for _, l := range []struct {
		listener *net.Listener
		addr     string
		key      string
	}{
		{listener: &d.callerListener, addr: d.settings.Daemon.CallerAddr, key: "caller_addr"},
		{listener: &d.operatorListener, addr: d.settings.Daemon.OperatorAddr, key: "operator_addr"},
		{listener: &d.peerListener, addr: d.settings.Daemon.PeerAddr, key: "peer_addr"},
	} {
		*l.listener, err = net.Listen("tcp", l.addr)
		if err != nil {
			d.closeListeners()
			return fmt.Errorf("[daemon] %s: %w", l.key, err)
		}
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callerListener, d.operatorListener, d.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (d *Daemon) build() error {
	d.incarnation = ident.NewIncarnation(d.peerListener.Addr().String())
	d.logger = d.logger.With(zap.String("incarnation", d.incarnation))
	if err := d.buildState(); err != nil {
		return err
	}
	d.buildPeers()
	return d.buildService()
}

// buildState creates the components that follow the platform's log and host list.
func (d *Daemon) buildState() error {
	p := d.settings.Platform
	var err error
	d.log, err = logservice.New(logservice.Config{
		Addr:             p.LogAddr,
		Stream:           p.LogStream,
		Timeout:          p.LogTimeout,
		AppendsPerSecond: p.LogAppendsPerSecond,
	})
	if err != nil {
		return err
	}
	d.machine = fold.New(fold.Config{
		Logger: d.logger,
	})
	d.syncer = confsync.NewSyncer(confsync.SyncerConfig{
		Log:                  d.log,
		Machine:              d.machine,
		Peers:                peerCatchUp{daemon: d},
		OnApplied:            d.publish,
		Logger:               d.logger,
		Writer:               d.incarnation,
		Seed:                 d.seed(),
		SnapshotEveryRecords: int(p.SnapshotEveryRecords),
	})
	d.editor = confsync.NewEditor(confsync.EditorConfig{
		Log:     d.log,
		Machine: d.machine,
	})
	d.hostList, err = hostlist.New(hostlist.Config{
		Addr:     p.HostListAddr,
		Interval: p.HostListInterval,
		OnHosts:  d.onHosts,
		Logger:   d.logger,
	})
	return err
}

func (d *Daemon) buildPeers() {
	d.members = membership.New(membership.Config{
		Self: membership.Member{
			Incarnation:  d.incarnation,
			PeerAddr:     d.peerListener.Addr().String(),
			CallerAddr:   d.callerListener.Addr().String(),
			OperatorAddr: d.operatorListener.Addr().String(),
			DataCentre:   d.settings.Daemon.DataCentre,
		},
		Seeds:      d.settings.Peers.Seeds,
		RandSeed:   d.seed(),
		OnUpstream: d.onUpstreamRumor,
		ResolveTTL: d.settings.Drain.ResolveTTL,
	})
	d.upstreams = upstream.New(upstream.Config{
		DataCentre:    d.settings.Daemon.DataCentre,
		Seed:          d.seed(),
		Self:          d.incarnation,
		OnStateChange: d.onUpstreamStateChange,
	})
	d.node = peer.New(peer.Config{
		Listener:   d.peerListener,
		Table:      d.members,
		LogReplica: peerRecords{syncer: d.syncer},
		Forwarder:  forwarder{daemon: d},
		Logger:     d.logger,
	})
}

func (d *Daemon) buildService() error {
	responses := invoke.Config{
		Memory: bytequota.New(bytequota.Config{
			Bytes: hostcapacity.DivideMemory(d.settings.Daemon.MemoryMB).Responses,
		}),
	}
	services, err := invoke.New(responses)
	if err != nil {
		return err
	}
	d.services = services
	engines, err := completion.New(responses)
	if err != nil {
		return err
	}
	d.executor = pipeline.New(pipeline.Config{
		Engines: containedInvoker{
			invoker: engines,
			logger:  d.logger,
		},
		Services: containedInvoker{
			invoker: services,
			logger:  d.logger,
		},
		Upstreams: d.upstreams,
		Admission: admission.New(admission.Config{}),
		Times:     stagetime.New(stagetime.Config{}),
		Budget: budget.Config{
			Ratio: d.settings.Retry.Ratio,
			Burst: int(d.settings.Retry.Burst),
		},
		Daemons: func() int { return int(d.daemonCount.Load()) },
	})
	d.placer = newPlacer(d, engines)
	fresh := freshness.New(freshness.Config{
		Check:   d.checkFresh,
		Timeout: checkTimeout,
	})
	d.claimer = idempotency.NewLogClaimer(d.incarnation, d.log, d.machine, fresh.Wait)
	d.registry = idempotency.New(idempotency.Config{
		Self:         d.incarnation,
		Claims:       d.claimer,
		ResultWindow: d.settings.Keys.ResultWindow,
	})
	d.service = request.New(request.Config{
		Self:        d.incarnation,
		Executor:    d.executor,
		Registry:    d.registry,
		Tables:      d.tables,
		Forward:     d.forward,
		QueryOwner:  d.queryOwner,
		MaxInFlight: int(d.settings.Limits.MaxInFlight),
		Logger:      d.logger,
	})
	return nil
}

// Run serves until ctx ends or Drain is called. Either starts a drain, and Run returns
// once the drain is complete.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := callerhttp.New(d.service, d.members)
	if err != nil {
		return err
	}
	operators, err := d.operatorHandler()
	if err != nil {
		return err
	}
	callerServer := d.newServer("caller_addr", callers)
	operatorServer := d.newServer("operator_addr", operators)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, background := errgroup.WithContext(background)
	for _, run := range []func(context.Context) error{d.syncer.Run, d.node.Serve, d.hostList.Run, d.claimer.Run, d.syncMembership, d.placer.run, d.checkLeaving} {
		g.Go(func() error { return ignoreShutdownError(run(background)) })
	}
	g.Go(func() error { return ignoreShutdownError(callerServer.Serve(d.limit(d.callerListener))) })
	g.Go(func() error { return ignoreShutdownError(operatorServer.Serve(d.operatorListener)) })
	g.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-d.drainRequested:
		case <-background.Done():
		}
		d.drain(background, callerServer)
		_ = operatorServer.Close()
		return nil
	})
	d.logger.Info("serving",
		zap.String("caller_addr", d.callerListener.Addr().String()),
		zap.String("operator_addr", d.operatorListener.Addr().String()),
		zap.String("peer_addr", d.peerListener.Addr().String()))
	return g.Wait()
}

// syncMembership periodically reports the progress in the log to the membership table
// and the number of daemons to the upstream set.
func (d *Daemon) syncMembership(ctx context.Context) error {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		d.members.SetProgress(d.machine.NextOffset(), d.machine.Revision())
		n, _ := d.members.Count()
		if int64(n) != d.daemonCount.Swap(int64(n)) {
			d.upstreams.SetDaemons(n)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tables returns the tables in effect, or nil while the state is not complete.
func (d *Daemon) tables() *table.Tables {
	if !d.machine.Ready() {
		return nil
	}
	return d.machine.Tables()
}

// seed returns a random seed derived from the incarnation, so that it differs between
// processes.
func (d *Daemon) seed() uint64 {
	return ident.Hash(d.incarnation)
}

// ignoreShutdownError returns nil for the errors of an ordinary shutdown, and err otherwise.
func ignoreShutdownError(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
