package upstreamhttp

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

// copyingUpstream responds to each request with the next of responses. A request on a connection that
// served one before first gets a second copy of the response to that.
func copyingUpstream(responses ...string) func(c net.Conn, r *bufio.Reader) {
	next := make(chan string, len(responses))
	for _, text := range responses {
		next <- text
	}
	return func(c net.Conn, r *bufio.Reader) {
		before := ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			text := <-next
			_, _ = io.WriteString(c, before+text)
			before = text
		}
	}
}

// TestSecondCopyIsNoResponse guards against a second copy of a response that arrives while its connection
// is in use again and is taken for the response to the next request.
func TestSecondCopyIsNoResponse(t *testing.T) {
	const (
		withoutID = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"
		sameID    = "HTTP/1.1 503 Busy\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\nbusy"
	)
	for _, row := range []struct {
		name  string
		first string
		id    string
		// connections is the number that the two requests need.
		connections int64
	}{
		{
			name:        "of another request",
			first:       response1,
			id:          "1",
			connections: 1,
		},
		{
			name:        "without an ID",
			first:       withoutID,
			id:          "1",
			connections: 2,
		},
		{
			name:        "of the same request before it was sent again",
			first:       sameID,
			id:          "2",
			connections: 2,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			u := serve(t, copyingUpstream(row.first, response2))
			p := New(Config{})
			req := newPost(row.id)
			req.MatchResponse = matchIfNamed(row.id)
			_, err := exchangeBody(t, p, u.endpoint(), req)
			require.NoError(t, err)
			req = newPost("2")
			req.MatchResponse = matchIfNamed("2")
			body, err := exchangeBody(t, p, u.endpoint(), req)
			require.NoError(t, err)
			require.Equal(t, "two", body)
			require.Equal(t, row.connections, u.accepted.Load())
		})
	}
}

// matchIfNamed matches responses with an ID or with none.
func matchIfNamed(id string) func(h http.Header) bool {
	return func(h http.Header) bool { return h.Get("X-Id") == "" || h.Get("X-Id") == id }
}

// TestCancelledExchangeLeavesNoConnection guards against the rest of a response that a cancelled attempt has
// not read and that the next request on the connection gets.
func TestCancelledExchangeLeavesNoConnection(t *testing.T) {
	const part, rest = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbe", "gu"
	cancelled := make(chan struct{})
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, part)
		<-cancelled
		_, _ = io.WriteString(c, rest)
		_, _ = io.Copy(io.Discard, r)
	})
	p := New(Config{})
	ctx, cancel := context.WithCancel(t.Context())
	res, err := p.Do(ctx, u.endpoint(), newPost("1"))
	require.NoError(t, err)
	cancel()
	time.Sleep(20 * time.Millisecond) // The end of the context has taken effect.
	close(cancelled)
	require.NoError(t, res.Body.Close())
	require.Empty(t, p.idle[u.endpoint()])
}
