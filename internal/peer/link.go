package peer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/panics"
	"sequoiafork/internal/wire/peerpb"
)

const (
	// queueLength is how many messages may be queued for a slow peer before its link
	// is closed.
	queueLength = 256
	// minRedialDelay and maxRedialDelay bound the delay before an address is dialed again.
	minRedialDelay = 250 * time.Millisecond
	maxRedialDelay = time.Second
	// minConnectBackoff and maxConnectBackoff bound gRPC's backoff within one connection.
	minConnectBackoff = 100 * time.Millisecond
	maxConnectBackoff = time.Second
)

// stream is what the client and the server stream of a Link call have in common.
type stream interface {
	Send(*peerpb.LinkMessage) error
	Recv() (*peerpb.LinkMessage, error)
}

// link is an open Link stream. It is the membership.Conn of its membership.Link.
type link struct {
	member    *membership.Link
	queue     chan *peerpb.LinkMessage
	closeOnce sync.Once
	done      chan struct{}

	// pushedNext is the offset after the last record pushed, and pushedAt the time of
	// that push.
	pushedNext uint64
	pushedAt   time.Time
}

// Send queues a message. It reports false if the queue is full.
func (l *link) Send(msg *peerpb.LinkMessage) bool {
	select {
	case l.queue <- msg:
		return true
	default:
		return false
	}
}

// Close ends the stream.
func (l *link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
	})
}

// runLink sends and receives on a stream until the stream fails, the member table
// closes the link or ctx is done. The caller must end the stream when runLink returns, which stops
// the receiving goroutine.
func (n *Node) runLink(ctx context.Context, s stream, dialed bool) {
	l := &link{
		queue: make(chan *peerpb.LinkMessage, queueLength),
		done:  make(chan struct{}),
	}
	l.member = n.cfg.Table.OpenLink(l, dialed)
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.receive(l, s)
	}()
	l.transmit(ctx, s)
	l.member.Close()
	n.mu.Lock()
	delete(n.links, l)
	n.mu.Unlock()
}

func (l *link) transmit(ctx context.Context, s stream) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case msg := <-l.queue:
			if s.Send(msg) != nil {
				return
			}
		}
	}
}

func (n *Node) receive(l *link, s stream) {
	defer l.member.Close()
	for {
		msg, err := s.Recv()
		if err != nil {
			return
		}
		// A message whose handling panics is dropped. The panic has been logged.
		_ = panics.Call(n.cfg.Logger, "link", func() error {
			n.deliver(l, msg)
			return nil
		})
	}
}

// deliver passes a message of a link to the replica and to the member table.
func (n *Node) deliver(l *link, msg *peerpb.LinkMessage) {
	if len(msg.GetRecords()) > 0 && n.cfg.LogReplica != nil {
		n.cfg.LogReplica.Deliver(msg.GetRecords())
	}
	l.member.Receive(msg)
}

func (n *Node) openLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	links := make([]*link, 0, len(n.links))
	for l := range n.links {
		links = append(links, l)
	}
	return links
}

// dialState is the state of the attempts to link to one address.
type dialState struct {
	active bool
	delay  time.Duration
	next   time.Time
}

// dialLink starts an attempt to link to an address, unless a link or an attempt is open
// or the redial delay has not passed.
func (n *Node) dialLink(ctx context.Context, addr string) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.dialing[addr]
	if !ok {
		d = &dialState{}
		n.dialing[addr] = d
	}
	if d.active || now.Before(d.next) {
		return
	}
	d.active = true
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		linked := n.linkTo(ctx, addr)
		n.mu.Lock()
		defer n.mu.Unlock()
		d.finish(linked, time.Now())
	}()
}

func (d *dialState) finish(linked bool, now time.Time) {
	d.active = false
	d.delay = min(max(2*d.delay, minRedialDelay), maxRedialDelay)
	if linked {
		d.delay = minRedialDelay
	}
	d.next = now.Add(d.delay)
}

// linkTo makes one connection and runs a link on it until the link ends. It reports
// whether the link was opened.
func (n *Node) linkTo(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := n.connect(ctx, addr)
	if err != nil {
		n.cfg.Logger.Debug("failed to link to peer", zap.String("peer_addr", addr), zap.Error(err))
		return false
	}
	defer conn.Close()
	s, err := n.openLink(ctx, cancel, conn)
	if err != nil {
		return false
	}
	n.runLink(ctx, s, true)
	return true
}

// openLink opens a link on a connection within DialTimeout. The link ends with ctx, which cancel ends.
func (n *Node) openLink(ctx context.Context, cancel context.CancelFunc, conn *grpc.ClientConn) (stream, error) {
	timer := time.AfterFunc(n.cfg.DialTimeout, cancel)
	s, err := peerpb.NewPeerClient(conn).Link(ctx)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	return s, err
}

// connect returns a new connection that is ready.
func (n *Node) connect(ctx context.Context, addr string) (*grpc.ClientConn, error) {
	conn, err := n.newConn(addr)
	if err != nil {
		return nil, err
	}
	if err := n.awaitReady(ctx, conn, addr); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (n *Node) newConn(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr, n.dialOptions()...)
}

// dialOptions returns the options of the connections to peers.
func (n *Node) dialOptions() []grpc.DialOption {
	pacer := retryPacer{
		logger: n.cfg.Logger,
	}
	return append(pacer.options(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(n.traffic.dial),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  minConnectBackoff,
				Multiplier: 2,
				MaxDelay:   maxConnectBackoff,
			},
			MinConnectTimeout: n.cfg.DialTimeout,
		}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(n.cfg.MaxMessageBytes)),
	)
}
