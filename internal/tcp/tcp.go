// Package tcp detects unresponsive peers of connections, by socket options that the net package leaves at the
// system's defaults, connections that ended, and addresses at which no process listens.
package tcp

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeoutControl returns a Control function for net.Dialer that sets TCP_USER_TIMEOUT.
// A connection is closed if sent data stays unacknowledged for d, and connecting fails if
// the peer does not respond for as long.
func UserTimeoutControl(d time.Duration) func(network, addr string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return cmp.Or(err, failed)
	}
}

// Broke reports whether an error is that of a connection that its other end, or the network, has ended.
func Broke(err error) bool {
	for _, end := range []error{
		io.EOF,
		io.ErrUnexpectedEOF,
		syscall.ECONNRESET,
		syscall.EPIPE,
	} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// Refused reports whether the host of an address refuses a connection, since no process listens there. It is false if
// the host does not respond until ctx ends.
func Refused(ctx context.Context, addr string) bool {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
