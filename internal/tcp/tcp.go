// Package tcp sets what the library leaves at the system's default on connections that
// must notice a silent peer.
package tcp

import (
	"cmp"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeoutControl returns a Control function for net.Dialer. It ends a connection whose
// other end has acknowledged nothing for d, and the making of one likewise.
func UserTimeoutControl(d time.Duration) func(network, addr string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return cmp.Or(err, failed)
	}
}
