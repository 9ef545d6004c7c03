package e2e

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// trouble is what a forwarder does to its connections. The zero value is none.
type trouble struct {
	// cut breaks connections and refuses further ones, with a reset if reset is set.
	cut, reset bool
	// stallUp and stallDown hold back what goes to the target and what comes from it.
	stallUp, stallDown bool
	delay              time.Duration
}

// forwarder passes connections on to an address, as far as its trouble lets it.
type forwarder struct {
	addr     string
	listener net.Listener
	target   string

	mu      sync.Mutex
	trouble trouble
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

func startForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", anyPort)
	require.NoError(t, err)
	f := &forwarder{
		addr:     l.Addr().String(),
		listener: l,
		target:   target,
		changed:  make(chan struct{}),
		conns:    make(map[net.Conn]struct{}),
	}
	var wg sync.WaitGroup
	wg.Go(f.serve)
	t.Cleanup(func() {
		_ = l.Close()
		f.set(trouble{
			cut: true,
		})
		wg.Wait()
	})
	return f
}

// set replaces the trouble.
func (f *forwarder) set(tr trouble) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trouble = tr
	close(f.changed)
	f.changed = make(chan struct{})
	if !tr.cut {
		return
	}
	for conn := range f.conns {
		if tcp, ok := conn.(*net.TCPConn); ok && tr.reset {
			_ = tcp.SetLinger(0) // What is lost makes the end a reset.
		}
		_ = conn.Close()
	}
}

// admit waits until a part may go on.
func (f *forwarder) admit(up bool) {
	for delayed := false; ; {
		f.mu.Lock()
		tr, changed := f.trouble, f.changed
		f.mu.Unlock()
		switch {
		case up && tr.stallUp || !up && tr.stallDown:
			<-changed
		case tr.delay > 0 && !delayed:
			time.Sleep(tr.delay)
			delayed = true
		default:
			return
		}
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
	wg.Go(func() { f.pass(far, near, true) })
	f.pass(near, far, false)
	wg.Wait()
}

// pass copies from one connection to another and then ends both.
func (f *forwarder) pass(to, from net.Conn, up bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			f.admit(up)
			if _, failed := to.Write(buf[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (f *forwarder) hold(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.trouble.cut {
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
