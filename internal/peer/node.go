package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/wire/peerpb"
)

// Defaults of Config.
const (
	DefaultDialTimeout       = 2 * time.Second
	DefaultMaxMessageBytes   = 64 << 20
	DefaultCatchUpRate       = 5
	DefaultRecentRecordBytes = 512 << 10
)

const (
	// keepaliveTime is the silence after which a connection is probed, and
	// keepaliveTimeout how long the answer may take. Links carry heartbeats and
	// find a half-open connection sooner.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// idleTimeout closes connections for forwarding that are not in use.
	idleTimeout = time.Minute
	// windowBytes is the flow control window. A set window also stops the
	// bandwidth estimator, whose pings would double the traffic of heartbeats.
	windowBytes = 1 << 20
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 4 << 10
	// stopTimeout bounds the wait for calls in flight when the node stops.
	stopTimeout = 2 * time.Second
	// loopInterval is how often the node looks for links to make and records to push.
	loopInterval = 250 * time.Millisecond
)

// LogReplica is the folded log of this daemon.
type LogReplica interface {
	// NextOffset returns the offset of the first record that is not folded yet.
	NextOffset() uint64
	// CatchUp answers a peer that is behind.
	CatchUp(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error)
	// Deliver takes in records that a peer passed on, in any order, perhaps again.
	Deliver(records []*peerpb.LogRecord)
}

// Forwarder runs requests whose key this process owns.
type Forwarder interface {
	Forward(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error)
	ShowKey(ctx context.Context, req *peerpb.ShowKeyRequest) (*peerpb.ShowKeyResponse, error)
}

// Config configures a Node. Table is needed, and Listen or Listener.
type Config struct {
	// Listen is the IP:port to accept peers on. Listener, when set, goes before it.
	Listen   string
	Listener net.Listener
	// Table is this daemon's member table. Serve runs it.
	Table *membership.Table
	// LogReplica and Forwarder may be nil; calls that need them are then refused.
	LogReplica LogReplica
	Forwarder  Forwarder
	// StageWorker may be nil.
	StageWorker StageWorker
	// Logger may be nil.
	Logger *zap.Logger
	// DialTimeout bounds the making of one connection.
	DialTimeout time.Duration
	// MaxMessageBytes bounds a forwarded request and a catch-up.
	MaxMessageBytes int
	// CatchUpRate is how many catch-ups a second are answered.
	CatchUpRate float64
	// RecentRecordBytes bounds the records that are held to pass on.
	RecentRecordBytes int
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, DefaultMaxMessageBytes)
	c.CatchUpRate = cmp.Or(c.CatchUpRate, DefaultCatchUpRate)
	c.RecentRecordBytes = cmp.Or(c.RecentRecordBytes, DefaultRecentRecordBytes)
	return c
}

// Node is the peer side of one daemon. Its methods are safe for concurrent use.
type Node struct {
	cfg            Config
	traffic        Traffic
	catchUpLimiter *rate.Limiter
	recent         recordBuffer

	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
	dialing map[string]*dialState
	links   map[*link]struct{}
	wg      sync.WaitGroup
}

// New returns a node. Nothing runs before Serve.
func New(cfg Config) *Node {
	cfg = cfg.withDefaults()
	return &Node{
		cfg:            cfg,
		catchUpLimiter: rate.NewLimiter(rate.Limit(cfg.CatchUpRate), int(cfg.CatchUpRate)+1),
		recent: recordBuffer{
			limit: cfg.RecentRecordBytes,
		},
		conns:   map[string]*grpc.ClientConn{},
		dialing: map[string]*dialState{},
		links:   map[*link]struct{}{},
	}
}

// Serve accepts peers, keeps links to neighbours and runs the member table until ctx
// is done. It then waits a short time for calls in flight.
func (n *Node) Serve(ctx context.Context) error {
	lis := n.cfg.Listener
	if lis == nil {
		var err error
		lis, err = net.Listen("tcp", n.cfg.Listen)
		if err != nil {
			return fmt.Errorf("peer: listen on %s: %w", n.cfg.Listen, err)
		}
	}
	srv := n.newServer()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return srv.Serve(n.traffic.listener(lis))
	})
	g.Go(func() error {
		return n.cfg.Table.Run(ctx)
	})
	g.Go(func() error {
		n.loop(ctx)
		n.stop(srv)
		return ctx.Err()
	})
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (n *Node) newServer() *grpc.Server {
	srv := grpc.NewServer(
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveTime / 2,
		}),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.SharedWriteBuffer(true),
		grpc.MaxRecvMsgSize(n.cfg.MaxMessageBytes),
	)
	peerpb.RegisterPeerServer(srv, &server{
		node: n,
	})
	return srv
}

// loop makes links and pushes records until ctx is done.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	for {
		for _, addr := range n.cfg.Table.DialTargets() {
			n.dialLink(ctx, addr)
		}
		n.push(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// stop closes the links, then the server and the connections.
func (n *Node) stop(srv *grpc.Server) {
	for _, l := range n.openLinks() {
		l.member.Close()
	}
	stopped := make(chan struct{})
	go func() {
		srv.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		srv.Stop()
		<-stopped
	}
	n.mu.Lock()
	for addr, c := range n.conns {
		_ = c.Close()
		delete(n.conns, addr)
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Traffic returns the bytes that this node has received and sent.
func (n *Node) Traffic() (in, out uint64) {
	return n.traffic.in.Load(), n.traffic.out.Load()
}
