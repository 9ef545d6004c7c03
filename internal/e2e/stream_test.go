package e2e

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/sse"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/wire/callerapi"
	"sequoiafork/internal/wire/standinapi"
)

const maxEventBytes = 1 << 20

// stream makes a call with a streamed response. The outcome is answered only if the
// stream ended with a done event; the output is the concatenated text of the stream.
func (c *cluster) stream(ctx context.Context, req call) callResult {
	r := callResult{
		call: req,
		sent: time.Now(),
	}
	params := callerapi.StreamRouteParams{
		Route: req.route,
	}
	res, err := c.daemons[req.daemon].callers.StreamRoute(ctx, req.body(), params)
	if raw, ok := res.(*callerapi.StreamRouteOKRawTextEventStream); ok {
		defer raw.Response.Body.Close()
		r.readStream(raw.Response.Body)
	} else {
		r.record(nil, err)
	}
	r.received = time.Now()
	c.history.add(r)
	return r
}

func (r *callResult) readStream(body io.Reader) {
	r.outcome = connectionLost
	var text strings.Builder
	decoder := sse.NewDecoder(body, 0, maxEventBytes, "", nil)
	for {
		raw, err := decoder.Decode()
		if err != nil {
			r.message = err.Error()
			return
		}
		var event callerapi.StreamEvent
		if err := event.Decode(jx.DecodeStr(raw.Data)); err != nil {
			r.message = err.Error()
			return
		}
		text.WriteString(event.Text.Or(""))
		if o, ok := event.Error.Get(); ok {
			r.recordOutcome(o)
			return
		}
		if done, ok := event.Done.Get(); ok {
			r.record(&done, nil)
			r.message = "answer " + done.Output
			r.output = text.String()
			return
		}
	}
}

// TestStreamIsWholeOrBroken cuts the streams of one of two engines at every seventh byte.
// The text that a caller reads before the done event must be the complete output.
func TestStreamIsWholeOrBroken(t *testing.T) {
	const step = 7
	c := startCluster(t, config{})
	for n := 1; n < 1000; n += step {
		c.upstreams[oracle.EngineKind][0].setFaults(t, standinapi.Faults{
			CutAfterBytes: standinapi.NewOptInt(n),
			CutCleanly:    standinapi.NewOptBool(n%2 == 0),
		})
		r := c.stream(t.Context(), call{
			daemon: n % len(c.daemons),
			route:  orderRoute,
			input:  fmt.Sprintf("cut at %d", n),
		})
		require.Equal(t, answered, r.outcome, r)
		require.Equal(t, "answer "+r.output, r.message, r)
	}
	c.check(t)
}

// TestStreamIsResumedFromAnotherEngine kills one of two engines in the middle of streams
// to callers.
func TestStreamIsResumedFromAnotherEngine(t *testing.T) {
	c := startCluster(t, config{
		engineArgs: []string{"-service-ms", "30"},
	})
	results := make(chan callResult, 8)
	for i := range cap(results) {
		go func() {
			results <- c.stream(t.Context(), call{
				daemon: i % len(c.daemons),
				route:  orderRoute,
				input:  fmt.Sprintf("order %d", i),
			})
		}()
	}
	time.Sleep(150 * time.Millisecond)
	c.upstreams[oracle.EngineKind][0].kill()
	for range cap(results) {
		r := <-results
		require.Equal(t, answered, r.outcome, r)
	}
	c.check(t)
}
