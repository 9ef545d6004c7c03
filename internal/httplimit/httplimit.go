// Package httplimit bounds the length of the responses that an HTTP client reads, for
// clients that read them as a whole.
//
//	client := &http.Client{
//		Transport: httplimit.New(httplimit.Config{
//			Base:         &http.Transport{},
//			MaxBodyBytes: 1 << 20,
//		}),
//	}
package httplimit

import (
	"fmt"
	"io"
	"net/http"
)

// MaxHeadBytes bounds the header of a response. It is meant for
// http.Transport.MaxResponseHeaderBytes.
const MaxHeadBytes = 16 << 10

// Config configures a Transport. Both fields are required.
type Config struct {
	Base http.RoundTripper
	// MaxBodyBytes bounds the body of a response.
	MaxBodyBytes int64
}

// Transport makes reading more than MaxBodyBytes of a body fail with a *TooLongError.
// It is safe for concurrent use.
type Transport struct {
	cfg Config
}

// New returns a Transport.
func New(cfg Config) *Transport {
	return &Transport{
		cfg: cfg,
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.cfg.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	res.Body = &body{
		ReadCloser: res.Body,
		remaining:  t.cfg.MaxBodyBytes,
		exceeded: &TooLongError{
			Method: req.Method,
			Path:   req.URL.Path,
			Addr:   req.URL.Host,
			Limit:  t.cfg.MaxBodyBytes,
		},
	}
	return res, nil
}

// TooLongError reports a response whose body is too long.
type TooLongError struct {
	// Method, Path and Addr are those of the request.
	Method string
	Path   string
	Addr   string
	// Limit is the maximum length in bytes.
	Limit int64
}

// Error returns the request, the address and the limit.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("response of %s to %s %s is longer than %d bytes", e.Addr, e.Method, e.Path, e.Limit)
}

// body returns exceeded in place of the bytes after the remaining ones.
type body struct {
	io.ReadCloser
	remaining int64
	exceeded  *TooLongError
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return 0, b.exceeded
	}
	// One byte more tells a body of the maximum length from a longer one.
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining+1)])
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n - 1, b.exceeded
	}
	return n, err
}
