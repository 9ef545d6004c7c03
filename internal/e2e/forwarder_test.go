package e2e

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// forwarder passes connections on to an address until it is cut.
type forwarder struct {
	addr     string
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

func startForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", anyPort)
	require.NoError(t, err)
	f := &forwarder{
		addr:     l.Addr().String(),
		listener: l,
		target:   target,
		conns:    make(map[net.Conn]struct{}),
	}
	var wg sync.WaitGroup
	wg.Go(f.serve)
	t.Cleanup(func() {
		_ = l.Close()
		f.setCut(true)
		wg.Wait()
	})
	return f
}

// setCut breaks every connection and refuses further ones, or takes them again.
func (f *forwarder) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = cut
	if !cut {
		return
	}
	for conn := range f.conns {
		_ = conn.Close()
	}
}

func (f *forwarder) serve() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			wg.Go(func() { f.forward(conn) })
		}
	}
}

func (f *forwarder) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !f.hold(near, far) {
		return
	}
	defer f.drop(near, far)
	var wg sync.WaitGroup
	wg.Go(func() { pass(far, near) })
	pass(near, far)
	wg.Wait()
}

// pass copies from one connection to another and then ends both.
func pass(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

func (f *forwarder) hold(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isCut {
		return false
	}
	for _, conn := range conns {
		f.conns[conn] = struct{}{}
	}
	return true
}

func (f *forwarder) drop(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range conns {
		delete(f.conns, conn)
	}
}
