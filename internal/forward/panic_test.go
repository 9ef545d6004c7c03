package forward

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/outcome"
)

// servePanicking serves two requests of a kind of route, of which the first finds one upstream whose response panics,
// and the second only such upstreams.
func servePanicking(t *testing.T, kind string, panicking, sound clientFunc) (first, second outcome.Outcome) {
	t.Helper()
	serve := func(client UpstreamClient) outcome.Outcome {
		f := New(Config{
			Client:    client,
			Stages:    &countedStages{},
			Upstreams: threeUpstreams(0),
			Table: tableOf(t, map[string]string{
				"kind":      kind,
				"attempts":  "2",
				"timeout":   "10s",
				"objective": "2s",
			}),
			RetryRatio: 0.2,
			RetryBurst: 10,
		})
		o := f.Serve(t.Context(), Request{
			ID:       "r1",
			Path:     "/a/x",
			Host:     "h",
			APIKey:   "k1",
			Received: time.Now(),
		}, &recordedResponse{})
		require.Zero(t, f.InFlight())
		return o
	}
	return serve(sequence(panicking, sound)), serve(panicking)
}

// panickingBody is a body that panics when it is read.
type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("fault") }

// TestPanicInAnAttemptFailsOnlyTheAttempt guards against a process that ends because one response of an upstream can't
// be decoded: attempts run in goroutines of their own. The request goes to another upstream, if it may.
func TestPanicInAnAttemptFailsOnlyTheAttempt(t *testing.T) {
	inCall := func(context.Context, Call) (*Response, error) { panic("fault") }
	inBody := func(context.Context, Call) (*Response, error) {
		return &Response{
			Status:   200,
			Verified: true,
			Body:     io.NopCloser(panickingBody{}),
		}, nil
	}
	whole := func(context.Context, Call) (*Response, error) {
		return &Response{
			Status:   200,
			Verified: true,
			Body:     io.NopCloser(strings.NewReader("whole")),
		}, nil
	}
	for name, panicking := range map[string]clientFunc{
		"in the call": inCall,
		"in the body": inBody,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := servePanicking(t, "idempotent", panicking, whole)
				require.IsType(t, outcome.Answered{}, first)
				require.IsType(t, outcome.Failed{}, second)
				_, second = servePanicking(t, "not_repeatable", panicking, whole)
				require.IsType(t, outcome.Unknown{}, second)
				first, second = servePanicking(t, "resumable_stream", panicking, scripted("events", "1", "2", "whole"))
				require.IsType(t, outcome.Answered{}, first)
				require.IsType(t, outcome.Failed{}, second)
			})
		})
	}
}
