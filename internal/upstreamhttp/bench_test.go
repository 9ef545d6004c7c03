package upstreamhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkExchange is one request and its response on a reused connection.
func BenchmarkExchange(b *testing.B) {
	u := serve(b, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, response1)
		}
	})
	p := New(Config{})
	req := newUnmatchedPost()
	b.ReportAllocs()
	for b.Loop() {
		res, err := p.Do(b.Context(), u.endpoint(), req)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(b, err)
		require.NoError(b, res.Body.Close())
	}
	require.Equal(b, int64(1), u.accepted.Load())
}
