// Package httpdrain lets an HTTP server stop without cutting off requests that it has begun to receive.
//
// http.Server.Shutdown resets the connections that wait to be accepted, drops each request whose header it has
// not read to its end, and closes connections on which the next request has begun to arrive. A Listener stops
// accepting before that, and tells when no request is being received or served.
//
//	l := httpdrain.New(listener)
//	server := &http.Server{Handler: h, ConnState: l.ConnState}
//	go server.Serve(l) // returns http.ErrServerClosed once l has stopped
//	err := l.Stop(ctx)
//	err = server.Shutdown(ctx)
//
// Responses must have the header Connection: close while the server stops.
package httpdrain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// acceptTime is how long no connection may have waited to be accepted before a Listener stops. Each
	// connection that is accepted meanwhile starts it anew.
	acceptTime = 50 * time.Millisecond
	// firstByteTime is how long a new connection may take for the first byte of its request.
	firstByteTime = 500 * time.Millisecond
	// pollInterval is the time between two checks of the connections.
	pollInterval = 10 * time.Millisecond
)

// Listener is a net.Listener for an http.Server. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener
	stopping atomic.Bool
	// stopped is closed when no connection is accepted any more.
	stopped  chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	conns map[net.Conn]*conn
}

// New returns a Listener that accepts from l.
func New(l *net.TCPListener) *Listener {
	return &Listener{
		TCPListener: l,
		stopped:     make(chan struct{}),
		conns:       make(map[net.Conn]*conn),
	}
}

// Accept implements net.Listener. Its error is http.ErrServerClosed after Stop, once no connection waits.
func (l *Listener) Accept() (net.Conn, error) {
	if l.stopping.Load() {
		_ = l.SetDeadline(time.Now().Add(acceptTime)) // Fails only on a closed listener.
	}
	nc, err := l.AcceptTCP()
	if err != nil {
		l.stopOnce.Do(func() { close(l.stopped) })
		if l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	c := newConn(nc)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = c
	return c, nil
}

// ConnState is the hook of an http.Server.
func (l *Listener) ConnState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked, ok := l.conns[c]
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		tracked.phase.Store(serving)
	case http.StateIdle:
		tracked.phase.Store(idle)
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// Stop accepts the connections that wait, and no others, and closes those on which no request is being received or
// served. It returns when there are no others, or with the error of ctx.
func (l *Listener) Stop(ctx context.Context) error {
	l.stopping.Store(true)
	_ = l.SetDeadline(time.Now().Add(acceptTime)) // Fails only on a closed listener.
	select {
	case <-l.stopped:
	case <-ctx.Done():
		return ctx.Err()
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for l.busy(time.Now()) {
		l.closeUnused(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// closeUnused closes the connections on which no request is being received or served. A caller that reuses one while a long
// response keeps the server from stopping would have its request cut off at the end.
func (l *Listener) closeUnused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.closeUnused(now)
	}
}

// busy reports whether a request is being received or served on a connection.
func (l *Listener) busy(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.busy(now) {
			return true
		}
	}
	return false
}
