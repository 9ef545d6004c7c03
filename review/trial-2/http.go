//go:build review2

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// isReady asks a daemon once whether it is ready.
func (d *daemon) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	res, err := client.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// rawConn is a connection to a stand-in server that answers one request at a time, and may send further bytes.
type rawConn struct {
	net.Conn
	mu sync.Mutex
	// busy reports that an answer is due, and copied is a second copy that waits for that.
	busy   bool
	copied []byte
}

// write writes an answer.
func (c *rawConn) write(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	_, _ = c.Write(b)
}

// sendCopy sends a second copy of an answer while the next one is due.
func (c *rawConn) sendCopy(b []byte, sent func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.copied = b
		return
	}
	if _, err := c.Write(b); err == nil {
		sent()
	}
}

// answer encodes an answer.
func answer(status int, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status, http.StatusText(status))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// serveRaw accepts connections and calls handle for each request.
func serveRaw(l net.Listener, handle func(c *rawConn, r *http.Request, body []byte)) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			c := &rawConn{
				Conn: nc,
			}
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				c.mu.Lock()
				c.busy = true
				c.mu.Unlock()
				handle(c, r, body)
			}
		}()
	}
}
