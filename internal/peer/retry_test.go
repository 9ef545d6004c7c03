package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/stagework"
)

// resetConn is a connection that can be reset so that only its writer notices: the client then counts it as ready.
type resetConn struct {
	net.Conn
	reset  atomic.Bool
	closed chan struct{}
	close  sync.Once
}

func (c *resetConn) Write(p []byte) (int, error) {
	if c.reset.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		<-c.closed
	}
	return n, err
}

func (c *resetConn) SetReadDeadline(time.Time) error { return nil }

func (c *resetConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// attemptCounter counts the attempts of calls.
type attemptCounter struct {
	retryPacer
	attempts atomic.Int64
}

func (c *attemptCounter) HandleRPC(_ context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.Begin); ok {
		c.attempts.Add(1)
	}
}

// resetNode returns a node whose shared connection to addr has been reset and still counts as ready.
func resetNode(t *testing.T, addr string) (*Node, *attemptCounter) {
	t.Helper()
	n := New(Config{})
	counter := &attemptCounter{}
	dialed := make(chan *resetConn, 1)
	var dials atomic.Int64
	conn, err := grpc.NewClient("passthrough:///"+addr, append(n.dialOptions(), grpc.WithStatsHandler(counter),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{}), // A test that is stalled keeps the connection.
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				return nil, syscall.ECONNREFUSED
			}
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			reset := &resetConn{
				Conn:   c,
				closed: make(chan struct{}),
			}
			dialed <- reset
			return reset, nil
		}))...)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	n.conns[addr] = conn
	_, err = n.conn(t.Context(), addr)
	require.NoError(t, err)
	(<-dialed).reset.Store(true)
	// The first calls are sent, and the writer of the connection ends when it can't write them.
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := n.Offset(ctx, memberAt(addr))
		require.Error(t, err)
		cancel()
	}
	counter.attempts.Store(0)
	return n, counter
}

func memberAt(addr string) membership.Member {
	return membership.Member{
		Incarnation: addr + "/peer",
		PeerAddr:    addr,
	}
}

// TestCallsOnAResetConnectionAreSpaced guards against a call that occupies a core while a connection that has been
// reset still counts as ready: the gRPC client then repeats the call without a limit and without a delay.
func TestCallsOnAResetConnectionAreSpaced(t *testing.T) {
	lis := listen(t, "127.0.0.1:0")
	addr := lis.Addr().String()
	startNode(t, lis, addr, "peer")
	const duration = 200 * time.Millisecond
	for name, do := range map[string]func(context.Context, *Node) error{
		"unary call": func(ctx context.Context, n *Node) error {
			_, err := n.Offset(ctx, memberAt(addr))
			return err
		},
		"stage work": func(ctx context.Context, n *Node) error {
			_, err := n.StageWork(ctx, memberAt(addr), stagework.Job{}, duration)
			return err
		},
		"link": func(ctx context.Context, n *Node) error {
			n.cfg.DialTimeout = duration
			ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // As those of links, without a deadline.
			defer cancel()
			_, err := n.openLink(ctx, cancel, n.conns[addr])
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, counter := resetNode(t, addr)
			ctx, cancel := context.WithTimeout(t.Context(), duration)
			defer cancel()
			began := time.Now()
			require.Error(t, do(ctx, n))
			took := time.Since(began)
			attempts := counter.attempts.Load()
			t.Logf("%d attempts in %v", attempts, took)
			// The client begins each transparent retry twice: once as such, and once as the attempt that it makes.
			require.Greater(t, attempts, int64(1), "the connection counts as closed: the test shows nothing")
			require.Less(t, attempts, int64(30))
			require.Less(t, took, duration+maxRetryDelay+time.Second)
		})
	}
}

// TestRetryDelay guards against delays that grow without a limit or keep a call that has ended.
func TestRetryDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer := retryPacer{
			logger: zap.NewNop(),
		}
		retry := &stats.Begin{
			IsTransparentRetryAttempt: true,
		}
		ctx, cancel := context.WithCancel(withRetries(t.Context()))
		var delays []time.Duration
		for range 8 {
			began := time.Now()
			pacer.HandleRPC(ctx, &stats.Begin{})
			pacer.HandleRPC(ctx, retry)
			delays = append(delays, time.Since(began)/time.Millisecond)
		}
		require.Equal(t, []time.Duration{1, 2, 4, 8, 16, 32, 50, 50}, delays)
		cancel()
		began := time.Now()
		pacer.HandleRPC(ctx, retry)
		require.Zero(t, time.Since(began))
	})
}
