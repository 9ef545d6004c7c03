package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/bytequota"
	"sequoiafork/internal/outcome"
)

// TestEndlessBodies guards against requests that are held, and memory that is used up, by a
// response whose body has no end. The scripts are like those of TestScripts.
func TestEndlessBodies(t *testing.T) {
	datadriven.RunTest(t, "testdata/endless/bodies", func(t *testing.T, d *datadriven.TestData) string {
		var result string
		synctest.Test(t, func(t *testing.T) {
			result = serveScript(t, d)
		})
		return result
	})
}

// endlessResponse returns the response that words describe, with a body that goes on without end:
// the first word is its pace, "fast" or "slow", and the others are those of another script line.
func endlessResponse(ctx context.Context, call Call, words []string) (*Response, error) {
	resp, err := scriptedResponse(ctx, call, words[1:])
	if err != nil {
		return nil, err
	}
	body := endlessReader{
		ctx: ctx,
	}
	if words[0] == "slow" {
		body.interval = time.Second
	}
	resp.Body = io.NopCloser(io.MultiReader(resp.Body, body))
	return resp, nil
}

// endlessReader reads zero bytes until ctx ends: one after each interval, or without an interval
// as many as fit.
type endlessReader struct {
	ctx      context.Context
	interval time.Duration
}

func (r endlessReader) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	if r.interval == 0 {
		return len(p), nil
	}
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-time.After(r.interval):
		return 1, nil
	}
}

// Responses without end that arrive side by side must not use up the memory, nor take all of it from
// responses that do end.
func TestEndlessBodiesShareMemory(t *testing.T) {
	const (
		endless      = 400
		memory       = 1 << 20
		minimumBytes = 1 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		quota := bytequota.New(bytequota.Config{
			Bytes:        memory,
			MinimumBytes: minimumBytes,
		})
		retained := &retainedBytes{}
		f := newEndlessForwarder(t, quota, retained)
		var g sync.WaitGroup
		for range endless {
			g.Go(func() {
				o := f.Serve(t.Context(), newEndlessRequest("/a/endless"), &recordedResponse{})
				require.Equal(t, outcome.CodeUpstreamBroken, outcome.CodeOf(o))
				require.IsType(t, outcome.Unknown{}, o)
			})
		}
		time.Sleep(20 * time.Millisecond)
		a := &recordedResponse{}
		o := f.Serve(t.Context(), newEndlessRequest("/a/short"), a)
		require.IsType(t, outcome.Answered{}, o)
		require.Equal(t, minimumBytes, a.body.Len())
		g.Wait()
		require.LessOrEqual(t, retained.max, int64(memory+(endless+1)*minimumBytes))
		synctest.Wait()
		require.Zero(t, quota.Used())
	})
}

// retainedBytes counts the bytes that responses in progress have delivered.
type retainedBytes struct {
	mu       sync.Mutex
	now, max int64
}

func (b *retainedBytes) add(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now += int64(n)
	b.max = max(b.max, b.now)
}

// countedBody delivers up to 1 KiB in each millisecond until it is closed, and counts it in retained.
type countedBody struct {
	io.Reader
	retained *retainedBytes
	read     int
}

func (b *countedBody) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	n, err := b.Reader.Read(p[:min(len(p), 1<<10)])
	b.read += n
	b.retained.add(n)
	return n, err
}

func (b *countedBody) Close() error {
	b.retained.add(-b.read)
	b.read = 0
	return nil
}

// countedClient responds with a body that has no end, or to paths that end in "short" with 1 KiB.
type countedClient struct {
	retained *retainedBytes
}

func (c countedClient) Call(ctx context.Context, call Call) (*Response, error) {
	var body io.Reader = endlessReader{
		ctx: ctx,
	}
	if strings.HasSuffix(call.Request.Path, "short") {
		body = io.LimitReader(body, 1<<10)
	}
	return &Response{
		Status:   http.StatusOK,
		Verified: true,
		Body: &countedBody{
			Reader:   body,
			retained: c.retained,
		},
	}, nil
}

func newEndlessForwarder(t *testing.T, quota *bytequota.Quota, retained *retainedBytes) *Forwarder {
	return New(Config{
		Client: countedClient{
			retained: retained,
		},
		Stages:    &scriptedStages{},
		Upstreams: threeUpstreams(0),
		Table: tableOf(t, map[string]string{
			"kind":      "not_repeatable",
			"timeout":   "20s",
			"objective": "300ms",
			"attempts":  "2",
		}),
		Memory: quota,
	})
}

func newEndlessRequest(path string) Request {
	return Request{
		ID:       "r1",
		Method:   http.MethodPost,
		Target:   path,
		Path:     path,
		Host:     "h",
		APIKey:   "k1",
		Received: time.Now(),
	}
}
