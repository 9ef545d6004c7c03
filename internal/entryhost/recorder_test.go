package entryhost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/upstream"
)

// recorder is the upstreams of all services. It records when requests and calls reach the data centre "a". failure says
// what the first attempt at a request meets, or that they limit their rate.
type recorder struct {
	mu       sync.Mutex
	reached  map[string][]time.Time
	attempts map[string]int
	failure  string
}

func newRecorder(failure string) *recorder {
	return &recorder{
		reached:  make(map[string][]time.Time),
		attempts: make(map[string]int),
		failure:  failure,
	}
}

// arrive records a request that reaches an upstream, and returns how many did before with its identifier.
func (v *recorder) arrive(addr, id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	dataCentre := "b"
	if strings.HasPrefix(addr, "192.0.2.1") {
		dataCentre = "a"
	}
	v.reached[dataCentre] = append(v.reached[dataCentre], time.Now())
	v.attempts[id]++
	return v.attempts[id] - 1
}

// since returns how many requests reached a data centre from a time on.
func (v *recorder) since(dataCentre string, from time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, at := range v.reached[dataCentre] {
		if at.After(from) {
			n++
		}
	}
	return n
}

// Call implements forward.UpstreamClient.
func (v *recorder) Call(ctx context.Context, call forward.Call) (*forward.Response, error) {
	first := v.arrive(call.Addr, call.Request.ID) == 0
	body := io.Reader(strings.NewReader("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"))
	switch {
	case !first:
	case v.failure == "retry":
		return nil, errors.New("connection reset")
	case v.failure == "cut":
		body = io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), brokenReader{})
	case v.failure == "hang":
		select {
		case <-time.After(hangTime):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &forward.Response{
		Status:   http.StatusOK,
		Verified: true,
		Body:     io.NopCloser(body),
		Notice: upstream.Notice{
			RateLimited: v.failure == "limit",
			PerSecond:   limitPerSecond,
		},
	}, nil
}

// Run implements stagework.Invoker.
func (v *recorder) Run(_ context.Context, u stagework.Upstream, items []stagework.Item) ([]stagework.ItemResult, error) {
	v.arrive(u.Addr, "stage")
	time.Sleep(10 * time.Millisecond)
	results := make([]stagework.ItemResult, len(items))
	for i, it := range items {
		results[i].Handle = fmt.Sprint(it.RequestID, it.Stage, it.Piece)
	}
	return results, nil
}

// Free implements stagework.Invoker.
func (*recorder) Free(context.Context, stagework.Upstream, []string) error { return nil }

// FreeMemory implements stagework.Invoker.
func (*recorder) FreeMemory(context.Context, stagework.Upstream) (int64, error) { return 1 << 30, nil }
