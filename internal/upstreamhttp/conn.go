package upstreamhttp

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sequoiafork/internal/http1"
)

// conn is a connection to an upstream. idleSince is zero until its first exchange is over.
type conn struct {
	*http1.Conn
	endpoint  Endpoint
	limited   *limitedReader
	reader    *bufio.Reader // reads from limited
	idleSince time.Time
	idleLimit time.Duration
	// last is the header of the last response, of which a copy may still arrive.
	last http.Header
}

func newConn(nc *http1.Conn, endpoint Endpoint, idle time.Duration) *conn {
	limited := &limitedReader{
		r: nc,
	}
	return &conn{
		Conn:      nc,
		endpoint:  endpoint,
		limited:   limited,
		reader:    bufio.NewReader(limited),
		idleLimit: idle,
	}
}

// beginResponse says that the next bytes are the head of a response. Some of them may have arrived with the response
// before.
func (c *conn) beginResponse() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.BeginResponse(buffered)
}

func (c *conn) close() { _ = c.Conn.Close() }

// idleWithin reports whether c has been idle for less than a fraction of its idle limit.
func (c *conn) idleWithin(now time.Time, fraction float64) bool {
	return now.Sub(c.idleSince) < time.Duration(fraction*float64(c.idleLimit))
}

// usable reports whether a request may be sent on c: c has not been idle for long, the
// upstream has not closed it, and no bytes are left to read that belong to no request.
func (c *conn) usable(now time.Time, idempotent bool) bool {
	fraction := nonIdempotentIdleFraction
	if idempotent {
		fraction = idempotentIdleFraction
	}
	return c.idleWithin(now, fraction) && c.reader.Buffered() == 0 && c.idleAndOpen()
}

// mayRepeat reports whether a copy of the last response would be taken for the response to
// req: it has the same ID, or the response had none.
func (c *conn) mayRepeat(req Request) bool {
	return c.last != nil && req.MatchResponse != nil && req.MatchResponse(c.last)
}

// idleAndOpen reports, without blocking, whether the upstream has neither sent bytes nor
// closed the connection.
func (c *conn) idleAndOpen() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

// updateIdleLimit sets the idle limit to the timeout in the upstream's Keep-Alive header,
// if there is one.
func (c *conn) updateIdleLimit(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleLimit = time.Duration(seconds) * time.Second
		}
	}
}
