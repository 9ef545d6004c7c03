package hostlist

import (
	"io"
	"net/http"
	"sync/atomic"
)

// countingTransport counts the response body bytes that are read.
type countingTransport struct {
	base  http.RoundTripper
	bytes atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &countedBody{
		ReadCloser: resp.Body,
		bytes:      &t.bytes,
	}
	return resp, nil
}

// countedBody adds the bytes that are read from a body to a counter.
type countedBody struct {
	io.ReadCloser
	bytes *atomic.Int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(int64(n))
	return n, err
}
