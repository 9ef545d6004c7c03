package httpdrain

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Phases of a connection: nothing has been received on a fresh one; a request is arriving, or being served;
// an idle one has served its last request; a closed one was idle while the server stops.
const (
	fresh int32 = iota
	arriving
	serving
	idle
	closed
)

// conn is a connection whose phase is known.
type conn struct {
	*net.TCPConn
	phase      atomic.Int32
	acceptedAt time.Time
}

func newConn(nc *net.TCPConn) *conn {
	return &conn{
		TCPConn:    nc,
		acceptedAt: time.Now(),
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && !c.phase.CompareAndSwap(fresh, arriving) {
		c.phase.CompareAndSwap(idle, arriving)
	}
	return n, err
}

// busy reports whether a request is arriving, is expected to, or is being served.
func (c *conn) busy(now time.Time) bool {
	switch c.phase.Load() {
	case closed:
		return false
	case idle:
		return c.waiting()
	case fresh:
		return now.Sub(c.acceptedAt) < firstByteTime || c.waiting()
	}
	return true
}

// closeUnused closes a connection that is not busy, so that no further request is sent on it.
func (c *conn) closeUnused(now time.Time) {
	phase := c.phase.Load()
	if !c.busy(now) && phase != closed && c.phase.CompareAndSwap(phase, closed) {
		_ = c.Close() // The server sees a connection that its caller has closed.
	}
}

// waiting reports whether bytes have arrived that were not read yet.
func (c *conn) waiting() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // The connection is closed.
	}
	n := 0
	err = raw.Control(func(fd uintptr) { // Unlike Read, it does not wait for a Read in progress.
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
