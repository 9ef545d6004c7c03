package upstreamhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// endlessUpstream sends first and then repeat without end, to each request.
type endlessUpstream struct {
	first  string
	repeat string
	// interval is the time between two repeats. Zero means none.
	interval time.Duration
	// closed receives a value for each connection that the caller closed.
	closed chan struct{}
}

func (u *endlessUpstream) handle(c net.Conn, r *bufio.Reader) {
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	_, err := io.WriteString(c, u.first)
	for err == nil {
		time.Sleep(u.interval)
		_, err = io.WriteString(c, u.repeat)
	}
	u.closed <- struct{}{}
}

// newEndlessUpstream reads an upstream from a directive with the arguments repeat and,
// optionally, interval. Its input is what is sent first, with after_head followed by a
// blank line.
func newEndlessUpstream(t *testing.T, d *datadriven.TestData) *endlessUpstream {
	t.Helper()
	u := &endlessUpstream{
		first:  strings.ReplaceAll(d.Input, "\n", "\r\n") + "\r\n",
		closed: make(chan struct{}, 1),
	}
	if d.HasArg("after_head") {
		u.first += "\r\n"
	}
	d.ScanArgs(t, "repeat", &u.repeat)
	u.repeat = strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\s`, " ").Replace(u.repeat)
	if interval := ""; d.HasArg("interval") {
		d.ScanArgs(t, "interval", &interval)
		var err error
		u.interval, err = time.ParseDuration(interval)
		require.NoError(t, err)
	}
	return u
}

// Bytes without end, in the head of a response or before it, must neither fill the memory
// nor keep a request for longer than its context, and their connection must be closed.
func TestEndlessHeads(t *testing.T) {
	datadriven.RunTest(t, "testdata/endless_heads", func(t *testing.T, d *datadriven.TestData) string {
		endless := newEndlessUpstream(t, d)
		u := serve(t, endless.handle)
		timeout := exchangeTimeout
		if d.HasArg("timeout") {
			timeout = 100 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := New(Config{}).Do(ctx, u.endpoint(), newPost("1"))
		require.Error(t, err)
		select {
		case <-endless.closed:
		case <-time.After(exchangeTimeout):
			t.Error("the connection is still open")
		}
		var failed *Error
		require.ErrorAs(t, err, &failed)
		message := strings.ReplaceAll(failed.Err.Error(), u.endpoint().Addr, "ADDR")
		return fmt.Sprintf("may have been sent: %t\n%s\n", failed.MaybeSent, message)
	})
}

// A head as long as the limit must be read, and the next response on its connection too.
func TestLongestHeadIsRead(t *testing.T) {
	const start, end = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\nX-Filler: ", "\r\n\r\n"
	filler := strings.Repeat("0", maxHeadBytes-len(start)-len(end))
	u := serve(t, respondWith(start+filler+end+"ok"))
	p := New(Config{})
	for range 2 {
		body, err := exchangeBody(t, p, u.endpoint(), newUnmatchedPost())
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Equal(t, int64(1), u.accepted.Load())
}

// A body without end, or one that arrives slowly, must not delay the end of its exchange, and its
// connection must not be reused.
func TestEndlessBodies(t *testing.T) {
	const maxCloseTime = time.Second
	datadriven.RunTest(t, "testdata/endless_bodies", func(t *testing.T, d *datadriven.TestData) string {
		endless := newEndlessUpstream(t, d)
		u := serve(t, endless.handle)
		p := New(Config{})
		res, err := p.Do(t.Context(), u.endpoint(), newPost("1"))
		require.NoError(t, err)
		began := time.Now()
		require.NoError(t, res.Body.Close())
		inTime := time.Since(began) < maxCloseTime
		select {
		case <-endless.closed:
		case <-time.After(exchangeTimeout):
			t.Error("the connection is still open")
		}
		return fmt.Sprintf("closed in time: %t, idle connections: %d\n", inTime, len(p.idle[u.endpoint()]))
	})
}

// A response that is closed before it is read, as a rejection is, must not cost its connection if
// its body is short.
func TestUnreadShortBodyKeepsItsConnection(t *testing.T) {
	u := serve(t, respondWith(response1, response2))
	p := New(Config{})
	for _, id := range []string{"1", "2"} {
		res, err := p.Do(t.Context(), u.endpoint(), newPost(id))
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
	}
	require.Equal(t, int64(1), u.accepted.Load())
}
