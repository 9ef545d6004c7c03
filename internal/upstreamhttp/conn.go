package upstreamhttp

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	peer      Endpoint
	reader    *bufio.Reader
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(nc net.Conn, peer Endpoint, idle time.Duration) *conn {
	return &conn{
		Conn:      nc,
		peer:      peer,
		reader:    bufio.NewReader(nc),
		idleLimit: idle,
	}
}

func (c *conn) close() { _ = c.Conn.Close() }

// fresh reports whether c has been idle for less than a part of its idle limit.
func (c *conn) idleWithin(now time.Time, fraction float64) bool {
	return now.Sub(c.idleSince) < time.Duration(fraction*float64(c.idleLimit))
}

// usable reports whether c may take a request: it has not been idle for long, the
// other end has not closed it, and no bytes that belong to no request wait on it.
func (c *conn) usable(now time.Time, repeatable bool) bool {
	fraction := nonIdempotentIdleFraction
	if repeatable {
		fraction = repeatableIdleFraction
	}
	return c.idleWithin(now, fraction) && c.reader.Buffered() == 0 && c.idleAndOpen()
}

// quiet looks, without waiting, whether the other end has sent or closed.
func (c *conn) idleAndOpen() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
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

// noteKeepAlive takes over the idle time that the upstream names.
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
