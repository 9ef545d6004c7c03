// Package tcp sets socket options that the net package leaves at the system's defaults, for
// connections that must detect an unresponsive peer.
package tcp

import (
	"cmp"
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
