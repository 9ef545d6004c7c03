package callerhttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/admission"
	"sequoiafork/internal/callerhttp"
	"sequoiafork/internal/idempotency"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/request"
	"sequoiafork/internal/stagetime"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

const maxBody = 512

// fakeInvoker returns the input in brackets and counts the calls.
type fakeInvoker struct {
	calls atomic.Int64
}

func (f *fakeInvoker) Invoke(_ context.Context, c pipeline.Call) (pipeline.Reply, error) {
	f.calls.Add(1)
	if c.Input == "break" {
		return pipeline.Reply{}, &pipeline.CallError{
			Addr:      c.Addr,
			Execution: pipeline.MayHaveRun,
			Err:       errors.New("connection lost"),
		}
	}
	if c.OnToken != nil {
		c.OnToken(0, "[")
		c.OnToken(1, c.Input+"]")
	}
	return pipeline.Reply{
		Output: "[" + c.Input + "]",
	}, nil
}

// unavailableLog is a Claimer whose claims all fail without an append.
type unavailableLog struct{}

func (unavailableLog) Lookup(idempotency.KeyHash) (idempotency.Owner, bool) {
	return idempotency.Owner{}, false
}

func (unavailableLog) Claim(context.Context, idempotency.KeyHash, idempotency.RequestHash) (idempotency.Owner, error) {
	return idempotency.Owner{}, &idempotency.NotClaimedError{
		RetryAfter: 3 * time.Second,
		Err:        errors.New("down"),
	}
}

func (unavailableLog) WaitCurrent(context.Context) error { return nil }

type fixedAddresses struct{}

func (fixedAddresses) Resolve(string, string) ([]string, time.Duration) {
	return []string{"10.0.0.1:1", "10.0.0.2:1"}, 10 * time.Second
}

func newTables() *table.Tables {
	tables := &table.Tables{}
	changes := []table.Change{
		table.SetPool{
			Pool: table.Pool{
				Name:        "llm",
				Kind:        table.KindEngine,
				Service:     "llm",
				Concurrency: 4,
				Models:      []string{"m"},
			},
		},
		table.SetRoute{
			Route: table.Route{
				Name:     "answer",
				Deadline: time.Second,
				Stages: []table.Stage{
					{
						Name:  "generate",
						Pool:  "llm",
						Model: "m",
					},
				},
			},
		},
		table.SetRoute{
			Route: table.Route{
				Name:     "order",
				Deadline: time.Second,
				Stages: []table.Stage{
					{
						Name:          "commit",
						Pool:          "llm",
						NonIdempotent: true,
					},
				},
			},
		},
	}
	for i, c := range changes {
		tables = tables.WithChange(c, uint64(i+1))
	}
	return tables
}

func newHandler(t *testing.T, invoker *fakeInvoker) http.Handler {
	set := upstream.New(upstream.Config{
		Self: "self",
	})
	set.Replace([]upstream.Host{
		{
			Addr:    "10.0.1.1:1",
			Service: "llm",
		},
	})
	tables := newTables()
	service := request.New(request.Config{
		Self: "self",
		Executor: pipeline.New(pipeline.Config{
			Engines:   invoker,
			Services:  invoker,
			Upstreams: set,
			Admission: admission.New(admission.Config{}),
			Times:     stagetime.New(stagetime.Config{}),
		}),
		Registry: idempotency.New(idempotency.Config{
			Self:   "self",
			Claims: unavailableLog{},
		}),
		Tables: func() *table.Tables { return tables },
	})
	h, err := callerhttp.New(service, fixedAddresses{})
	require.NoError(t, err)
	return http.MaxBytesHandler(h, maxBody)
}

var volatileFields = regexp.MustCompile(`r-[0-9a-f-]{36}|"millis":[0-9.e-]+`)

// TestScripts sends the requests in the testdata files. A command is the HTTP method,
// its arguments are the path and the idempotency key, and its input is the body. The
// output is the status, the Retry-After header, the number of upstream calls and the body.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		invoker := &fakeInvoker{}
		h := newHandler(t, invoker)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var path, key string
			d.ScanArgs(t, "path", &path)
			d.MaybeScanArgs(t, "key", &key)
			body := strings.ReplaceAll(d.Input, "LONG", strings.Repeat("x", maxBody))
			req := httptest.NewRequest(d.Cmd, path, strings.NewReader(body))
			req.Header.Set("Content-Type", "application/json")
			if key != "" {
				req.Header.Set("Idempotency-Key", key)
			}
			invoker.calls.Store(0)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, req)
			respBody, err := io.ReadAll(w.Body)
			require.NoError(t, err)
			return fmt.Sprintf("%d retry=%q calls=%d\n%s\n", w.Code, w.Header().Get("Retry-After"), invoker.calls.Load(),
				strings.TrimSpace(volatileFields.ReplaceAllString(string(respBody), "X")))
		})
	})
}
