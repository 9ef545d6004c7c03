package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
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

// endlessResponse returns the response that words describe, with a body that has no end: the first
// word is the pace of the body, "fast" or "slow", and the others are those of another script line.
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
	resp.Body = io.NopCloser(body)
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
