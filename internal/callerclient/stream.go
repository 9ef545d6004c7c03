package callerclient

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/sse"

	"sequoiafork/internal/wire/callerapi"
)

const (
	lineBufferBytes = 4 << 10
	maxEventBytes   = 16 << 20
)

// Stream sends a request and calls onText with each part of its answer as it arrives.
// The answer is complete only if Stream returns it. A stream that is truncated after
// the first call of onText is not retried.
func (c *Client) Stream(ctx context.Context, r Request, onText func(string)) (*callerapi.Answer, error) {
	var answer *callerapi.Answer
	err := c.resolveAndSend(ctx, r, func(ctx context.Context, client *callerapi.Client, body *callerapi.Call) error {
		params := callerapi.StreamRouteParams{
			Route: r.Route,
		}
		if r.Key != "" {
			params.IdempotencyKey = callerapi.NewOptString(r.Key)
		}
		res, err := client.StreamRoute(ctx, body, params)
		if err != nil {
			return err
		}
		raw, ok := res.(*callerapi.StreamRouteOKRawTextEventStream)
		if !ok {
			return fmt.Errorf("unexpected response %T", res)
		}
		defer func() { _ = raw.Response.Body.Close() }()
		answer, err = readAnswer(raw.Response.Body, onText)
		return err
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// readAnswer calls onText for each text event and returns the answer in the final event.
func readAnswer(body io.Reader, onText func(string)) (*callerapi.Answer, error) {
	decoder := sse.NewDecoder(body, lineBufferBytes, maxEventBytes, "", nil)
	textReceived := false
	for {
		event, err := decoder.Decode()
		if err != nil {
			return nil, truncatedStream(textReceived, err)
		}
		var e callerapi.StreamEvent
		if err := e.Decode(jx.DecodeStr(event.Data)); err != nil {
			return nil, truncatedStream(textReceived, err)
		}
		if text, ok := e.Text.Get(); ok {
			textReceived = true
			onText(text)
		}
		if done, ok := e.Done.Get(); ok {
			return &done, nil
		}
		if outcome, ok := e.Error.Get(); ok {
			return nil, &OutcomeError{
				Outcome: outcome,
			}
		}
	}
}

// truncatedStream returns the outcome of a stream that ended without its final event.
func truncatedStream(textReceived bool, err error) *OutcomeError {
	code := codeResponseLost
	if textReceived {
		code = codeStreamTruncated
	}
	if errors.Is(err, io.EOF) {
		err = errors.New("the stream ended before its end mark")
	}
	return newOutcomeError(callerapi.OutcomeOutcomeUnknown, code, err)
}
