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
	DefaultCatchUpRate       = 5 // requests per second
	DefaultRecentRecordBytes = 512 << 10
)

const (
	// keepaliveTime is how long a connection may be inactive before it is probed, and
	// keepaliveTimeout how long the response to a probe may take. On links, heartbeats
	// detect a half-open connection sooner.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// idleTimeout is how long a connection may have no calls before it is closed.
	idleTimeout = time.Minute
	// windowBytes is the flow control window. Setting it also disables gRPC's
	// bandwidth estimator, whose pings would double the traffic of heartbeats.
	windowBytes = 1 << 20
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 4 << 10
	// stopTimeout bounds the wait for calls in progress when the node stops.
	stopTimeout = 2 * time.Second
	// loopInterval is how often the node checks for links to open and records to push.
	loopInterval = 250 * time.Millisecond
)

// LogReplica is this daemon's replica of the log, or of other data whose version serves
// as the offset.
type LogReplica interface {
	// NextOffset returns the offset of the first record that is not applied yet.
	NextOffset() uint64
	// CatchUp returns the records from an offset on for a lagging peer.
	CatchUp(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error)
	// Deliver receives records that a peer has pushed. They may come in any order and
	// more than once.
	Deliver(records []*peerpb.LogRecord)
}

// Forwarder runs requests whose key this process owns.
type Forwarder interface {
	Forward(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error)
	ShowKey(ctx context.Context, req *peerpb.ShowKeyRequest) (*peerpb.ShowKeyResponse, error)
}

// Config configures a Node. Table is needed, and Listen or Listener.
type Config struct {
	// Listen is the IP:port to accept peers on. Listener, when set, takes precedence.
	Listen   string
	Listener net.Listener
	// Table is this daemon's member table. Serve runs it.
	Table *membership.Table
	// LogReplica and Forwarder may be nil; calls that need them then fail.
	LogReplica LogReplica
	Forwarder  Forwarder
	// StageWorker may be nil; stage work for peers then fails.
	StageWorker StageWorker
	// Topics may be nil; peers can't read topics here then.
	Topics TopicReader
	// Origins may be nil; peers can't keep the origins of streams here then.
	Origins OriginKeeper
	// Logger may be nil.
	Logger *zap.Logger
	// DialTimeout bounds the time to make one connection.
	DialTimeout time.Duration
	// MaxMessageBytes is the maximum size of a received message, such as a forwarded
	// request or a catch-up response.
	MaxMessageBytes int
	// CatchUpRate is the maximum number of catch-up requests served per second.
	CatchUpRate float64
	// RecentRecordBytes is the maximum size of the recent records kept for pushing.
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

// Node makes and serves the peer calls of one daemon. Its methods are safe for
// concurrent use.
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

// New returns a Node. It does nothing until Serve is called.
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

// Serve accepts calls from peers, maintains links to neighbours and runs the member
// table until ctx is done. It then waits up to stopTimeout for calls in progress.
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
		grpc.ChainUnaryInterceptor(n.containUnary),
		grpc.ChainStreamInterceptor(n.containStream),
	)
	peerpb.RegisterPeerServer(srv, &server{
		node: n,
	})
	return srv
}

// loop opens links and pushes records until ctx is done.
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

// Traffic returns the numbers of bytes that this node has received and sent.
func (n *Node) Traffic() (in, out uint64) {
	return n.traffic.in.Load(), n.traffic.out.Load()
}
