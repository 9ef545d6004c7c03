package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// instantClient answers each call at once.
type instantClient struct{ body string }

// Call implements UpstreamClient.
func (c instantClient) Call(context.Context, Call) (*Response, error) {
	return &Response{
		Status:   http.StatusOK,
		Verified: true,
		Body:     io.NopCloser(strings.NewReader(c.body)),
	}, nil
}

// discardedResponse is a caller's response that nobody reads.
type discardedResponse struct{}

// WriteResponse implements ResponseWriter.
func (discardedResponse) WriteResponse(int, http.Header, []byte) {}

// BeginStream implements ResponseWriter.
func (discardedResponse) BeginStream(int, http.Header) {}

// WriteEvent implements ResponseWriter.
func (discardedResponse) WriteEvent([]byte) error { return nil }

// BenchmarkServeWithoutHedging guards against a setting that costs time or memory for each request while it is off.
func BenchmarkServeWithoutHedging(b *testing.B) {
	for _, kind := range []string{"idempotent", "resumable_stream"} {
		b.Run(kind, func(b *testing.B) {
			f := New(Config{
				Client: instantClient{
					body: "id: 1\ndata: t\n\n",
				},
				Stages:    &scriptedStages{},
				Upstreams: threeUpstreams(0),
				Table: tableOf(b, map[string]string{
					"kind":      kind,
					"attempts":  "2",
					"timeout":   "20s",
					"objective": "2s",
				}),
				RetryRatio: 0.2,
				RetryBurst: 10,
			})
			req := Request{
				ID:     "r1",
				Method: http.MethodPost,
				Target: "/a/x",
				Path:   "/a/x",
				Host:   "h",
				APIKey: "k1",
			}
			b.ReportAllocs()
			for b.Loop() {
				req.Received = time.Now()
				f.Serve(b.Context(), req, discardedResponse{})
			}
		})
	}
}
