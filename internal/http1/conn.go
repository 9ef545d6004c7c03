package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// BrokenError reports a connection that has broken although reading from it returned io.EOF.
type BrokenError struct {
	// Addr is the address of the peer.
	Addr string
	// Err is the error that a write returned.
	Err error
}

// Error returns the address and the error of the write.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("connection to %s broke while a request was written: %v", e.Addr, e.Err)
}

// Unwrap returns the error of the write.
func (e *BrokenError) Unwrap() error { return e.Err }

// errUsedUp is the error of writes on a connection that must not be used again. net/http sends a request of which nothing
// was written on another connection.
var errUsedUp = errors.New("the connection has brought a failure, of which a second copy may follow")

// Conn is a connection to an HTTP/1.1 server. One goroutine may read while another one writes. What is read first is the
// head of a response.
type Conn struct {
	net.Conn

	// writing is held during a write. It guards writeErr, the first error of one.
	writing  sync.Mutex
	writeErr error

	mu   sync.Mutex
	head head
	// malformed is the error of all reads after a malformed head, nil before.
	malformed atomic.Pointer[HeadError]
	// usedUp reports that no further request may be written.
	usedUp atomic.Bool
}

// NewConn returns a Conn on a new connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{
		Conn: c,
	}
}

// SyscallConn implements syscall.Conn. It fails if the connection has no descriptor.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// BeginResponse says that the head of a response is expected next, of which some bytes may have been read already. It
// returns a *HeadError if these are malformed. It does nothing while a head is being read.
func (c *Conn) BeginResponse(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.part != outside {
		return nil
	}
	c.head = head{}
	if _, malformed := c.head.check(read); malformed != nil {
		c.malformed.Store(malformed)
		return malformed
	}
	return nil
}

// beginUnmatched begins a request of which nothing tells whether a response belongs to it. The request can't be written if
// the last response was a failure: a second copy of that would pass for the failure of this request.
func (c *Conn) beginUnmatched() {
	c.mu.Lock()
	failed := c.head.part == outside && c.head.status >= minFailureStatus
	c.mu.Unlock()
	if failed {
		c.usedUp.Store(true)
		return
	}
	_ = c.BeginResponse(nil) // Nothing was read that could be malformed.
}

// checkHead checks bytes that were read. It returns how many of them may be used.
func (c *Conn) checkHead(b []byte) (int, *HeadError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, malformed := c.head.check(b)
	if malformed != nil {
		c.malformed.Store(malformed)
	}
	return n, malformed
}

// Read implements net.Conn. Its error is io.EOF only if the peer has ended the connection in order, a *BrokenError if a
// write has found it broken, and a *HeadError after a malformed head.
func (c *Conn) Read(b []byte) (int, error) {
	if malformed := c.malformed.Load(); malformed != nil {
		return 0, malformed
	}
	n, err := c.Conn.Read(b)
	if n, malformed := c.checkHead(b[:n]); malformed != nil {
		return n, malformed
	}
	if err == io.EOF { // A net.Conn returns it as it is.
		err = c.endOfInput()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.usedUp.Load() {
		return 0, errUsedUp
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endOfInput returns io.EOF if the peer has ended the connection in order, and otherwise why it has broken. The kernel
// reports that a connection broke once, to a read or a write, and io.EOF to all reads after that. So a write in progress
// is ended first: its error tells. It is syscall.EPIPE if the peer's orderly end came before the reset.
func (c *Conn) endOfInput() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err // The connection was closed here.
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return &BrokenError{
		Addr: c.RemoteAddr().String(),
		Err:  c.writeErr,
	}
}
