package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/wire/operatorapi"
	"sequoiafork/internal/wire/standinapi"
)

// Routes and the workspace of the tests.
const (
	orderRoute    = "order"    // Four idempotent stages.
	shortRoute    = "short"    // One short completion.
	encodeRoute   = "encode"   // One idempotent stage.
	dispatchRoute = "dispatch" // Ends in a non-idempotent stage.
	commitStage   = "commit"
	workspace     = "ardennes"
	model         = "m"
	orderTokens   = 8
	shortTokens   = 2
	routeDeadline = 4 * time.Second
)

// routes are the stages of each route, as the upstreams execute them.
var routes = map[string][]oracle.Stage{
	orderRoute: {
		{
			Kind: "encoder",
			Name: "encode",
		},
		{
			Kind: "retriever",
			Name: "retrieve",
		},
		{
			Kind: "reranker",
			Name: "rerank",
		},
		{
			Kind:      oracle.EngineKind,
			Name:      "generate",
			Model:     model,
			MaxTokens: orderTokens,
		},
	},
	shortRoute: {
		{
			Kind:      oracle.EngineKind,
			Name:      "generate",
			Model:     model,
			MaxTokens: shortTokens,
		},
	},
	encodeRoute: {
		{
			Kind: "encoder",
			Name: "encode",
		},
	},
	dispatchRoute: {
		{
			Kind: "encoder",
			Name: "encode",
		},
		{
			Kind: "service",
			Name: commitStage,
		},
	},
}

// config holds the options of a cluster. Zero fields mean the defaults.
type config struct {
	daemons        int           // Three when zero.
	upstreams      int           // Of each kind; two when zero.
	snapshotEvery  int           // Records between snapshots; 1000 when zero.
	keyWindow      time.Duration // Retention of idempotency keys; an hour when zero.
	maxInFlight    int           // Requests in flight of a daemon; 2048 when zero.
	addressTTL     time.Duration // How long callers cache resolved addresses; 200 ms when zero.
	grace          time.Duration // Grace period of a drain for requests in flight; a minute when zero.
	engineArgs     []string      // Additional flags of the engines.
	commitArgs     []string      // Additional flags of the plain services.
	placementLease time.Duration // Term of the placement lease; placement is off when zero.
	links          bool          // Whether daemons connect to the log and the upstreams through forwarders.
}

// cluster holds the platform stand-ins, the upstreams and the daemons under test.
type cluster struct {
	config    config
	log       *standin
	hosts     *standin
	upstreams map[string][]*standin // By kind.
	daemons   []*daemon
	links     []*forwarder // One for each upstream, shared by all daemons, then one for each daemon's log connection.
	history   history
}

func startCluster(t *testing.T, cfg config) *cluster {
	t.Helper()
	if cfg.daemons == 0 {
		cfg.daemons = 3
	}
	if cfg.upstreams == 0 {
		cfg.upstreams = 2
	}
	if cfg.snapshotEvery == 0 {
		cfg.snapshotEvery = 1000
	}
	if cfg.maxInFlight == 0 {
		cfg.maxInFlight = 2048
	}
	if cfg.addressTTL == 0 {
		cfg.addressTTL = 200 * time.Millisecond
	}
	if cfg.grace == 0 {
		cfg.grace = time.Minute
	}
	if cfg.keyWindow == 0 {
		cfg.keyWindow = time.Hour
	}
	c := &cluster{
		config:    cfg,
		log:       startStandin(t, "log"),
		hosts:     startStandin(t, "hostlist"),
		upstreams: make(map[string][]*standin),
	}
	for range cfg.upstreams {
		c.addUpstreams(t)
	}
	if cfg.links {
		for _, u := range c.allUpstreams() {
			u.link = startForwarder(t, u.addr)
			c.links = append(c.links, u.link)
		}
	}
	c.publishHosts(t)
	for range cfg.daemons {
		target := c
		if cfg.links {
			link := startForwarder(t, c.log.addr)
			c.links = append(c.links, link)
			target = c.withLogAddr(link.addr)
		}
		c.daemons = append(c.daemons, startDaemon(t, target))
	}
	c.publishTables(t)
	return c
}

func (c *cluster) addUpstreams(t *testing.T) {
	t.Helper()
	for _, kind := range []string{"encoder", "retriever", "reranker"} {
		c.upstreams[kind] = append(c.upstreams[kind], startStandin(t, "pool", "-kind", kind, "-service-ms", "2"))
	}
	engine := append([]string{"engine", "-models", model, "-service-ms", "1"}, c.config.engineArgs...)
	c.upstreams[oracle.EngineKind] = append(c.upstreams[oracle.EngineKind], startStandin(t, engine...))
	service := append([]string{"service", "-service-ms", "2"}, c.config.commitArgs...)
	c.upstreams["service"] = append(c.upstreams["service"], startStandin(t, service...))
}

func (c *cluster) publishHosts(t *testing.T) {
	t.Helper()
	var hosts standinapi.Hosts
	for kind, upstreams := range c.upstreams {
		for _, u := range upstreams {
			hosts.Hosts = append(hosts.Hosts, standinapi.Host{
				Addr:       u.daemonAddr(),
				DataCentre: "dc1",
				Service:    kind,
				State:      standinapi.HostStateLive,
			})
		}
	}
	require.NoError(t, c.hosts.api.SetHosts(t.Context(), &hosts))
}

// publishTables sets the pools and routes and waits until every daemon has applied
// them.
func (c *cluster) publishTables(t *testing.T) {
	t.Helper()
	c.daemons[0].waitReady(t)
	var pools, edits errgroup.Group
	for kind := range c.upstreams {
		pools.Go(func() error { return c.setPool(t.Context(), kind) })
	}
	require.NoError(t, pools.Wait())
	for name := range routes {
		edits.Go(func() error { return c.setRoute(t.Context(), name) })
	}
	require.NoError(t, edits.Wait())
	for _, d := range c.daemons {
		d.waitReady(t)
		require.Eventually(t, func() bool { return d.hasTables(t, len(routes)) }, startTimeout, 20*time.Millisecond)
	}
}

// hasTables reports whether the daemon shows n routes, every upstream and at least
// as many daemons as the cluster has.
func (d *daemon) hasTables(t *testing.T, n int) bool {
	list, err := d.operators.ListRoutes(t.Context())
	if err != nil || len(list.Rows) != n {
		return false
	}
	hosts, err := d.operators.ListHosts(t.Context())
	return err == nil && len(hosts.Upstreams) == len(d.cluster.allUpstreams()) && len(hosts.Daemons) >= len(d.cluster.daemons)
}

func (c *cluster) setPool(ctx context.Context, kind string) error {
	pool := &operatorapi.PoolSpec{
		Kind:        kind,
		Service:     kind,
		Concurrency: 16,
	}
	if kind == oracle.EngineKind {
		pool.Models = []string{model}
	}
	return accepted(c.daemons[0].operators.SetPool(ctx, pool, operatorapi.SetPoolParams{
		Name: kind,
	}))
}

func (c *cluster) setRoute(ctx context.Context, name string) error {
	return accepted(c.daemons[0].operators.SetRoute(ctx, routeSpec(routes[name]), operatorapi.SetRouteParams{
		Name: name,
	}))
}

// accepted returns an error unless an edit was accepted.
func accepted(result *operatorapi.EditResult, err error) error {
	if err != nil {
		return err
	}
	if result.State != operatorapi.EditResultStateAccepted {
		return fmt.Errorf("edit is %s: %s %v", result.State, result.Message, result.Problems)
	}
	return nil
}

func routeSpec(stages []oracle.Stage) *operatorapi.RouteSpec {
	spec := &operatorapi.RouteSpec{
		DeadlineMs: routeDeadline.Milliseconds(),
	}
	for _, s := range stages {
		stage := operatorapi.Stage{
			Name: s.Name,
			Pool: s.Kind,
		}
		if s.Kind == oracle.EngineKind {
			stage.Model = operatorapi.NewOptString(s.Model)
			stage.MaxTokens = operatorapi.NewOptInt64(int64(s.MaxTokens))
		}
		if s.Name == commitStage {
			stage.NotRepeatable = operatorapi.NewOptBool(true)
		}
		spec.Stages = append(spec.Stages, stage)
	}
	return spec
}

func (c *cluster) allUpstreams() []*standin {
	var all []*standin
	for _, upstreams := range c.upstreams {
		all = append(all, upstreams...)
	}
	return all
}

// commits returns the executions of the non-idempotent stage for an input of the
// dispatch route.
func (c *cluster) commits(t *testing.T, input string) []standinapi.Entry {
	t.Helper()
	want := oracle.Route(routes[dispatchRoute][:1], input)
	var entries []standinapi.Entry
	for _, s := range c.upstreams["service"] {
		for _, e := range s.ledger(t) {
			if e.Stage == commitStage && e.Input == want {
				entries = append(entries, e)
			}
		}
	}
	return entries
}

// waitCommit waits until the non-idempotent stage has begun.
func (c *cluster) waitCommit(t *testing.T, input string) {
	t.Helper()
	require.Eventually(t, func() bool { return len(c.commits(t, input)) > 0 }, startTimeout, 5*time.Millisecond)
}
