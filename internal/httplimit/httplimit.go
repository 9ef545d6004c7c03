// Package httplimit bounds the length of the responses that an HTTP client reads, for
// clients that read them as a whole.
//
//	client := &http.Client{
//		Transport: httplimit.New(httplimit.Config{
//			Base: http1.New(http1.Config{
//				Base: &http.Transport{},
//			}),
//			MaxBodyBytes: 1 << 20,
//		}),
//	}
package httplimit

import (
	"fmt"
	"io"
	"net/http"

	"sequoiafork/internal/bytequota"
)

// MaxHeadBytes bounds the header of a response. It is meant for
// http.Transport.MaxResponseHeaderBytes.
const MaxHeadBytes = 16 << 10

// Config configures a Transport. Base and MaxBodyBytes are required.
type Config struct {
	Base http.RoundTripper
	// MaxBodyBytes bounds the body of a response.
	MaxBodyBytes int64
	// Memory is shared by the bodies that are read at the same time. Nil means that there
	// is no bound on all together.
	Memory *bytequota.Quota
}

// Transport makes reading more than MaxBodyBytes of a body fail with a *TooLongError, and
// reading more than there is memory for with a *bytequota.ExceededError. It is safe for
// concurrent use.
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
	limited := &body{
		ReadCloser: res.Body,
		remaining:  t.cfg.MaxBodyBytes,
		exceeded: &TooLongError{
			Method: req.Method,
			Path:   req.URL.Path,
			Addr:   req.URL.Host,
			Limit:  t.cfg.MaxBodyBytes,
		},
	}
	if t.cfg.Memory != nil {
		limited.memory = t.cfg.Memory.Reserve()
	}
	res.Body = limited
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
	// memory is reserved for the bytes that were read, until Close. It may be nil.
	memory *bytequota.Reservation
	read   int64
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
	b.read += int64(n)
	if b.memory == nil {
		return n, err
	}
	if exceeded := b.memory.Resize(b.read); exceeded != nil {
		return 0, fmt.Errorf("read response of %s to %s %s: %w", b.exceeded.Addr, b.exceeded.Method, b.exceeded.Path, exceeded)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.memory != nil {
		b.memory.Release()
	}
	return b.ReadCloser.Close()
}
