package e2e

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkFault is a fault that a forwarder injects into its connections. The zero value
// is no fault.
type linkFault struct {
	// cut closes connections and rejects new ones. With reset, it closes with an RST.
	cut, reset bool
	// stallUp and stallDown stop forwarding to the target and from it.
	stallUp, stallDown bool
	delay              time.Duration
}

// forwarder is a TCP proxy that injects faults into the connections to its target.
type forwarder struct {
	addr     string
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   linkFault
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
		f.set(linkFault{
			cut: true,
		})
		wg.Wait()
	})
	return f
}

// set replaces the fault.
func (f *forwarder) set(fault linkFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	close(f.changed)
	f.changed = make(chan struct{})
	if !fault.cut {
		return
	}
	for conn := range f.conns {
		if tcp, ok := conn.(*net.TCPConn); ok && fault.reset {
			_ = tcp.SetLinger(0) // Close sends an RST instead of a FIN.
		}
		_ = conn.Close()
	}
}

// waitWritable waits until the fault allows the next bytes to be forwarded.
func (f *forwarder) waitWritable(up bool) {
	for delayed := false; ; {
		f.mu.Lock()
		fault, changed := f.fault, f.changed
		f.mu.Unlock()
		switch {
		case up && fault.stallUp || !up && fault.stallDown:
			<-changed
		case fault.delay > 0 && !delayed:
			time.Sleep(fault.delay)
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

func (f *forwarder) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer server.Close()
	if !f.addConns(client, server) {
		return
	}
	defer f.removeConns(client, server)
	var wg sync.WaitGroup
	wg.Go(func() { f.copyBytes(server, client, true) })
	f.copyBytes(client, server, false)
	wg.Wait()
}

// copyBytes copies from one connection to another and then closes both.
func (f *forwarder) copyBytes(to, from net.Conn, up bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			f.waitWritable(up)
			if _, failed := to.Write(buf[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// addConns registers connections, or returns false if the link is cut.
func (f *forwarder) addConns(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.cut {
		return false
	}
	for _, conn := range conns {
		f.conns[conn] = struct{}{}
	}
	return true
}

func (f *forwarder) removeConns(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range conns {
		delete(f.conns, conn)
	}
}
