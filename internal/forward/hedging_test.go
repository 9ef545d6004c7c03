package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sequoiafork/internal/hedge"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// usualTime is the time of a response in warmHedges, and slowTime that of a slow one.
const (
	usualTime = 100 * time.Millisecond
	slowTime  = time.Second
)

// warmHedges returns a decider that knows the requests of tableOf.
func warmHedges() *hedge.Decider {
	d := hedge.New(hedge.Config{
		ExtraWork: 0.05,
	})
	for i := range 2000 {
		a := d.Begin(hedge.Request{
			Pool: "s",
			Kind: "route",
		}, hedge.Load{})
		took := usualTime
		if i%100 == 99 {
			took = slowTime
		}
		a.Ended(took)
		a.Worked(took)
	}
	return d
}

// timedClient answers the calls of a request after given times. Each event or body names its call.
type timedClient struct {
	times []time.Duration
	fails []bool
	// begun makes responses begin at once, with the time before their bodies. cutOff is the error of a body whose call
	// was cancelled.
	begun  bool
	cutOff error

	mu    sync.Mutex
	calls []Call
	ended []time.Time // when a call was cancelled
}

// Call implements UpstreamClient.
func (c *timedClient) Call(ctx context.Context, call Call) (*Response, error) {
	c.mu.Lock()
	n := len(c.calls)
	c.calls = append(c.calls, call)
	c.ended = append(c.ended, time.Time{})
	c.mu.Unlock()
	took := c.times[min(n, len(c.times)-1)]
	text := fmt.Sprintf("id: 1\ndata: call%d\n\nid: 2\ndata: call%d\n\n", n+1, n+1)
	if c.begun {
		return &Response{
			Status:   http.StatusOK,
			Verified: true,
			Body: io.NopCloser(cutBody{
				Reader: &pacedReader{
					ctx:    ctx,
					events: []string{text},
					pace:   took,
				},
				ctx: ctx,
				err: c.cutOff,
			}),
		}, nil
	}
	if err := sleepFor(ctx, took); err != nil {
		c.mu.Lock()
		c.ended[n] = time.Now()
		c.mu.Unlock()
		return nil, &pipeline.CallError{
			Addr:      call.Addr,
			Execution: pipeline.MayHaveRun,
			Err:       err,
		}
	}
	if n < len(c.fails) && c.fails[n] {
		return nil, &pipeline.CallError{
			Addr:      call.Addr,
			Execution: pipeline.MayHaveRun,
			Err:       io.ErrUnexpectedEOF,
		}
	}
	return &Response{
		Status:   http.StatusOK,
		Verified: true,
		Body:     io.NopCloser(strings.NewReader(text)),
	}, nil
}

// hedgedRequest is one request with hedges and what came of it.
type hedgedRequest struct {
	client   *timedClient
	upstream *upstream.Set
	// begun makes the response begin at once, and its first event take the time of a call.
	begun    bool
	opts     map[string]string
	change   func(*Config)
	prepare  func(*Forwarder)
	request  func(*Request)
	readTime time.Duration

	took     time.Duration
	outcome  outcome.Outcome
	response *slowResponse
	began    time.Time
}

// slowResponse is read by a slow caller.
type slowResponse struct {
	recordedResponse
	// readTime is how long the caller takes for a write, and began when the first write began.
	readTime time.Duration
	began    time.Time
}

// WriteResponse implements ResponseWriter.
func (r *slowResponse) WriteResponse(status int, header http.Header, body []byte) {
	r.wait()
	r.recordedResponse.WriteResponse(status, header, body)
}

// BeginStream implements ResponseWriter.
func (r *slowResponse) BeginStream(status int, header http.Header) {
	r.wait()
	r.recordedResponse.BeginStream(status, header)
}

func (r *slowResponse) wait() {
	r.began = time.Now()
	time.Sleep(r.readTime)
}

func (r *hedgedRequest) serve(t *testing.T) {
	t.Helper()
	opts := map[string]string{
		"kind":      "idempotent",
		"attempts":  "2",
		"timeout":   "20s",
		"objective": "20s",
	}
	for k, v := range r.opts {
		opts[k] = v
	}
	if r.upstream == nil {
		r.upstream = threeUpstreams(0)
	}
	cfg := Config{
		Client:     r.client,
		Stages:     &scriptedStages{},
		Upstreams:  r.upstream,
		Table:      tableOf(t, opts),
		RetryRatio: 0.2,
		RetryBurst: 10,
		Hedge:      warmHedges(),
	}
	if r.change != nil {
		r.change(&cfg)
	}
	r.began = time.Now()
	req := Request{
		ID:       "r1",
		Method:   http.MethodPost,
		Target:   "/a/x",
		Path:     "/a/x",
		Host:     "h",
		APIKey:   "k1",
		Received: r.began,
	}
	if r.request != nil {
		r.request(&req)
	}
	r.response = &slowResponse{
		readTime: r.readTime,
	}
	f := New(cfg)
	if r.prepare != nil {
		r.prepare(f)
	}
	r.outcome = f.Serve(t.Context(), req, r.response)
	r.took = time.Since(r.began) - r.readTime
	synctest.Wait()
}

// TestSlowRequestIsHedged guards against requests that wait for a slow upstream, answers that mix two upstreams, losers
// that go on, and second attempts at the same host.
func TestSlowRequestIsHedged(t *testing.T) {
	for _, kind := range []string{"idempotent", "resumable_stream"} {
		for name, c := range map[string]struct {
			times  []time.Duration
			fails  []bool
			winner int
			within time.Duration
		}{
			"second wins": {
				times:  []time.Duration{slowTime, usualTime},
				winner: 2,
				within: 4 * usualTime,
			},
			"first wins": {
				times:  []time.Duration{3 * usualTime, slowTime},
				winner: 1,
				within: 3 * usualTime,
			},
			"second fails": {
				times:  []time.Duration{slowTime, usualTime},
				fails:  []bool{false, true},
				winner: 1,
				within: slowTime,
			},
			"first fails": {
				times:  []time.Duration{3 * usualTime, 5 * usualTime},
				fails:  []bool{true},
				winner: 2,
				within: 8 * usualTime,
			},
		} {
			t.Run(kind+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := hedgedRequest{
						client: &timedClient{
							times: c.times,
							fails: c.fails,
						},
						opts: map[string]string{
							"kind": kind,
						},
						readTime: time.Second,
					}
					r.serve(t)
					require.IsType(t, outcome.Answered{}, r.outcome)
					require.LessOrEqual(t, r.took, c.within)
					require.Len(t, r.client.calls, 2)
					require.NotEqual(t, r.client.calls[0].Addr, r.client.calls[1].Addr)
					body := r.response.body.String()
					require.Equal(t, 2, strings.Count(body, fmt.Sprintf("call%d", c.winner)), body)
					require.Equal(t, 2, strings.Count(body, "call"), body)
					if c.fails == nil {
						require.Equal(t, r.response.began, r.client.ended[2-c.winner], "the loser is cancelled at once")
					}
				})
			})
		}
	}
}

// TestNotHedged guards against second attempts at requests that may not be repeated, in a full or queueing pool, beyond
// the attempts of the route or the retry budget, and where stages would have to run again.
func TestNotHedged(t *testing.T) {
	oneAttempt := map[string]string{
		"attempts": "1",
	}
	for name, r := range map[string]hedgedRequest{
		"not idempotent": {
			opts: map[string]string{
				"kind": "not_repeatable",
			},
		},
		"stream": {
			opts: map[string]string{
				"kind": "stream",
			},
		},
		"resumed stream": {
			opts: map[string]string{
				"kind": "resumable_stream",
			},
			request: func(req *Request) { req.HasLastEvent = true },
		},
		"one attempt": {
			opts: oneAttempt,
		},
		"one attempt at a stream": {
			opts: map[string]string{
				"kind":     "resumable_stream",
				"attempts": "1",
			},
		},
		"no retry budget": {
			change:  func(cfg *Config) { cfg.RetryRatio, cfg.RetryBurst = -1, 1 },
			prepare: func(f *Forwarder) { f.budget("s").Withdraw() },
		},
		"stages have run": {
			opts: map[string]string{
				"kind": "resumable_stream",
			},
			request: func(req *Request) { req.PieceCounts = []int{1} },
			begun:   true,
		},
		"limit of zero": {
			change: func(cfg *Config) { cfg.Hedge = hedge.New(hedge.Config{}) },
		},
		"full pool": {
			change: func(cfg *Config) { occupy(cfg.Upstreams, 23, nil) },
		},
		"queue": {
			change: func(cfg *Config) {
				occupy(cfg.Upstreams, 1, &upstream.Load{
					Queued:   1,
					Capacity: 8,
				})
			},
		},
		"held by the quarantine": {
			change: func(cfg *Config) { cfg.Quarantine = newFakeQuarantine(t, "50ms").orNil() },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r.client = &timedClient{
					times: []time.Duration{slowTime, usualTime},
					begun: r.begun,
				}
				r.serve(t)
				require.IsType(t, outcome.Answered{}, r.outcome)
				require.Len(t, r.client.calls, 1)
				require.GreaterOrEqual(t, r.took, slowTime)
			})
		})
	}
}

// occupy starts attempts at the upstreams. With a load, they end at once and report it.
func occupy(set *upstream.Set, attempts int, load *upstream.Load) {
	for range attempts {
		choice, err := set.Pick(upstream.Request{
			Pool: &table.Pool{
				Service: "s",
			},
		})
		if err == nil && load != nil {
			choice.Done(upstream.Result{
				Outcome: upstream.OK,
				Latency: usualTime,
				Load:    load,
			})
		}
	}
}

// TestHedgedLoad guards against answers that mix two attempts or come twice, and against extra work beyond the limit, when
// both attempts of many requests end in any order.
func TestHedgedLoad(t *testing.T) {
	for _, kind := range []string{"idempotent", "resumable_stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				work := metrics.GetOrCreateFloatCounter(`sequoiafork_hedge_work_seconds_total{service="s"}`)
				extra := metrics.GetOrCreateFloatCounter(`sequoiafork_hedge_extra_work_seconds_total{service="s"}`)
				made := metrics.GetOrCreateCounter(`sequoiafork_hedged_requests_total{service="s"}`)
				won := metrics.GetOrCreateCounter(`sequoiafork_hedges_won_total{service="s"}`)
				workBefore, extraBefore, madeBefore, wonBefore := work.Get(), extra.Get(), made.Get(), won.Get()
				client := &timedClient{}
				rng := rand.New(rand.NewPCG(1, 1))
				for range 20_000 {
					took := time.Duration(float64(usualTime) * (0.8 + 0.4*rng.Float64()))
					if rng.IntN(50) == 0 {
						took *= time.Duration(2 + rng.IntN(10))
					}
					client.times = append(client.times, took)
				}
				f := New(Config{
					Client:    client,
					Stages:    &scriptedStages{},
					Upstreams: threeUpstreams(0),
					Table: tableOf(t, map[string]string{
						"kind":      kind,
						"attempts":  "2",
						"timeout":   "20s",
						"objective": "20s",
					}),
					RetryRatio: 0.2,
					RetryBurst: 10,
					Hedge: hedge.New(hedge.Config{
						ExtraWork: 0.05,
					}),
				})
				var requests sync.WaitGroup
				for i := range 4000 {
					requests.Go(func() { serveWhole(t, f, fmt.Sprintf("r%d", i)) })
					time.Sleep(usualTime / 10)
				}
				requests.Wait()
				require.Greater(t, made.Get(), madeBefore)
				require.Greater(t, won.Get(), wonBefore)
				require.LessOrEqual(t, extra.Get()-extraBefore, 0.05*(work.Get()-workBefore))
				t.Logf("%s: %d hedged, %d won, extra work %.2f%%", kind, made.Get()-madeBefore, won.Get()-wonBefore,
					100*(extra.Get()-extraBefore)/(work.Get()-workBefore))
			})
		})
	}
}

// serveWhole serves a request and checks that its caller gets the two events of one call.
func serveWhole(t *testing.T, f *Forwarder, id string) {
	response := &recordedResponse{}
	o := f.Serve(t.Context(), Request{
		ID:       id,
		Method:   http.MethodPost,
		Target:   "/a/x",
		Path:     "/a/x",
		Host:     "h",
		APIKey:   "k1",
		Received: time.Now(),
	}, response)
	assert.IsType(t, outcome.Answered{}, o)
	words := strings.Fields(response.body.String())
	if assert.Len(t, words, 8) {
		assert.Equal(t, []string{"id:", "1", "data:", words[3], "id:", "2", "data:", words[3]}, words)
	}
}

// TestLoserIsNoFailure guards against upstreams that count as failing since the body of a losing attempt was cut off.
func TestLoserIsNoFailure(t *testing.T) {
	for name, c := range map[string]struct {
		first, second time.Duration
		cause         error
	}{
		"first": {
			first:  slowTime,
			second: usualTime,
			cause:  errSecondFaster,
		},
		"second": {
			first:  3 * usualTime,
			second: slowTime,
			cause:  errHedgeNotNeeded,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, logs := observer.New(zap.InfoLevel)
				r := hedgedRequest{
					client: &timedClient{
						times:  []time.Duration{c.first, c.second},
						begun:  true,
						cutOff: os.ErrDeadlineExceeded,
					},
					change: func(cfg *Config) { cfg.Logger = zap.New(core) },
				}
				r.serve(t)
				require.IsType(t, outcome.Answered{}, r.outcome)
				failed := logs.FilterMessage("attempt failed").All()
				require.Len(t, failed, 1)
				require.Equal(t, c.cause.Error(), failed[0].ContextMap()["error"])
			})
		})
	}
}

// cutBody is a body that fails with an error once its context has ended.
type cutBody struct {
	io.Reader
	ctx context.Context
	err error
}

// Read implements io.Reader.
func (b cutBody) Read(buf []byte) (int, error) {
	n, err := b.Reader.Read(buf)
	if b.ctx.Err() != nil {
		return n, b.err
	}
	return n, err
}

// TestHedgeCountsItsLoser guards against hedges whose extra work is not counted.
func TestHedgeCountsItsLoser(t *testing.T) {
	extra := metrics.GetOrCreateFloatCounter(`sequoiafork_hedge_extra_work_seconds_total{service="s"}`)
	for _, kind := range []string{"idempotent", "resumable_stream"} {
		synctest.Test(t, func(t *testing.T) {
			before := extra.Get()
			r := hedgedRequest{
				client: &timedClient{
					times: []time.Duration{slowTime, usualTime},
				},
				opts: map[string]string{
					"kind": kind,
				},
			}
			r.serve(t)
			require.InDelta(t, r.took.Seconds(), extra.Get()-before, 1e-6, "the first attempt ran until the second one won")
		})
	}
}
