package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"sequoiafork/internal/tcp"
)

// unackedTimeout is how long sent data may stay unacknowledged before TCP closes the
// connection (TCP_USER_TIMEOUT).
const unackedTimeout = 2 * time.Second

// Traffic counts the bytes received and sent on a node's connections.
type Traffic struct {
	in, out atomic.Uint64
}

func (t *Traffic) listener(l net.Listener) net.Listener {
	return &countedListener{
		Listener: l,
		traffic:  t,
	}
}

func (t *Traffic) dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Control: tcp.UserTimeoutControl(unackedTimeout),
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{
		Conn:    c,
		traffic: t,
	}, nil
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{
		Conn:    c,
		traffic: l.traffic,
	}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(uint64(n))
	return n, err
}
