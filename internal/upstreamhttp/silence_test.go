package upstreamhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestConnectionSurvivesSilentHost guards against connections that end because a host that pauses acknowledges nothing.
func TestConnectionSurvivesSilentHost(t *testing.T) {
	const silence = 2 * time.Second
	begun := make(chan struct{})
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbe")
		<-begun
		_, _ = io.WriteString(c, "gu")
	})
	resp, err := New(Config{}).Do(t.Context(), u.endpoint(), Request{
		Method: http.MethodGet,
		Target: "/",
		Host:   "h",
	})
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, 2))
	require.NoError(t, err)
	conn := resp.Body.(*exchange).conn.Conn
	dropReceived(t, conn, true)
	close(begun)
	time.AfterFunc(silence, func() { dropReceived(t, conn, false) })
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "gu", string(rest))
}

// dropReceived makes the kernel drop all packets that arrive for a connection, or stop doing so.
func dropReceived(t *testing.T, conn syscall.Conn, drop bool) {
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	rejectAll := []unix.SockFilter{
		{
			Code: unix.BPF_RET | unix.BPF_K,
		},
	}
	var failed error
	require.NoError(t, raw.Control(func(fd uintptr) {
		if !drop {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len:    uint16(len(rejectAll)),
			Filter: &rejectAll[0],
		})
	}))
	require.NoError(t, failed)
}
