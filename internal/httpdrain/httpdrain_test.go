package httpdrain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newServer returns a listener and a server on it that does not serve yet.
func newServer(t *testing.T) (*Listener, *http.Server) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(tcp.(*net.TCPListener))
	s := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }),
		ConnState: l.ConnState,
	}
	t.Cleanup(func() { _ = s.Close() })
	return l, s
}

// TestWaitingConnectionsAreServed guards against requests that are reset because they wait to be accepted when the
// server stops.
func TestWaitingConnectionsAreServed(t *testing.T) {
	const waiting = 50
	l, s := newServer(t)
	var conns []net.Conn
	for range waiting {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, c)
	}
	served := make(chan error, 1)
	stopped := make(chan error, 1)
	go func() { stopped <- l.Stop(t.Context()) }()
	time.Sleep(10 * time.Millisecond)
	go func() { served <- s.Serve(l) }()
	require.NoError(t, <-stopped)
	require.NoError(t, s.Shutdown(t.Context()))
	require.ErrorIs(t, <-served, http.ErrServerClosed)
	for _, c := range conns {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, res.StatusCode)
	}
	_, err := net.Dial("tcp", l.Addr().String())
	require.Error(t, err)
}

// TestStopDoesNotWaitForIdleConnections guards against a stop that lasts as long as callers keep their connections, or as
// the context allows when nothing arrives on a new one.
func TestStopDoesNotWaitForIdleConnections(t *testing.T) {
	const maxStopTime = 5 * time.Second
	l, s := newServer(t)
	s.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	go func() { _ = s.Serve(l) }()
	used, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer used.Close()
	_, err = io.WriteString(used, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(used), nil)
	require.NoError(t, err)
	silent, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer silent.Close()
	ctx, cancel := context.WithTimeout(t.Context(), maxStopTime)
	defer cancel()
	require.NoError(t, l.Stop(ctx))
	require.NoError(t, used.SetReadDeadline(time.Now().Add(maxStopTime)))
	_, err = used.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the used connection is still open")
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Len(t, l.conns, 1, "the silent connection is left to Shutdown")
}

// TestStopEndsWithItsContext guards against a stop that lasts as long as a request that never arrives to its end.
func TestStopEndsWithItsContext(t *testing.T) {
	l, s := newServer(t)
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HT")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	require.ErrorIs(t, l.Stop(ctx), context.DeadlineExceeded)
}

// TestUnreadRequestIsWaitedFor guards against a request that has arrived on an idle connection, but was not read yet
// because the processor is busy, and that is lost when the connection is closed.
func TestUnreadRequestIsWaitedFor(t *testing.T) {
	l, _ := newServer(t)
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	l.ConnState(c, http.StateIdle)
	require.False(t, l.busy(time.Now()))
	_, err = io.WriteString(caller, "G")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return l.busy(time.Now()) }, time.Second, time.Millisecond)
}

// TestNewConnectionMaySendItsRequest guards against a connection that is closed between its start and the first byte of
// its request.
func TestNewConnectionMaySendItsRequest(t *testing.T) {
	const firstByte = 200 * time.Millisecond
	l, s := newServer(t)
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	time.AfterFunc(firstByte, func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") })
	require.NoError(t, l.Stop(t.Context()))
	require.NoError(t, s.Shutdown(t.Context()))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
}

// TestIdleConnectionsEndWhileAResponseLasts guards against a request on a connection that was idle when the stop began: a
// long response kept all connections open, and requests that were accepted seconds into the stop were cut off at its
// end.
func TestIdleConnectionsEndWhileAResponseLasts(t *testing.T) {
	l, s := newServer(t)
	release := make(chan struct{})
	s.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			<-release
		}
	})
	go func() { _ = s.Serve(l) }()
	dial := func(path string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		return c
	}
	long, idleConn := dial("/long"), dial("/")
	reader := bufio.NewReader(idleConn)
	_, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- l.Stop(t.Context()) }()
	require.NoError(t, idleConn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the idle connection is still open")
	require.Empty(t, stopped, "the stop did not wait for the long response")
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(long), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.NoError(t, <-stopped)
}
