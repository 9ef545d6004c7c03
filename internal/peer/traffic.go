package peer

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silence is how long written bytes may stay unacknowledged before a connection ends.
const silence = 2 * time.Second

// limitSilence ends a connection whose other end acknowledges nothing.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	return cmp.Or(err, failed)
}

// Traffic counts the bytes of a node's connections.
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
		Control: limitSilence,
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
