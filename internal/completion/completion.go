// Package completion calls engines (model servers) through the completions interface
// defined in api/upstream.yaml.
package completion

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/sse"

	"sequoiafork/internal/httplimit"
	"sequoiafork/internal/invoke"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
	"sequoiafork/internal/wire/upstreamapi"
)

const (
	endMarker        = "[DONE]"
	maxEventBytes    = 1 << 20
	cancelTimeout    = time.Second
	maxResumes       = 2
	defaultMaxTokens = 256
)

// ErrStreamTruncated reports a stream that ended without its end marker or a finish
// reason, or that holds a chunk that can't be decoded.
var ErrStreamTruncated = errors.New("stream ended before its end marker")

// Client calls engines. It is safe for concurrent use.
type Client struct {
	api *upstreamapi.Client
}

// New returns a Client.
func New(cfg invoke.Config) (*Client, error) {
	api, err := upstreamapi.NewClient("http://invalid", upstreamapi.WithClient(&http.Client{
		Transport: invoke.NewTransport(cfg, false),
	}))
	if err != nil {
		return nil, fmt.Errorf("create engine client: %w", err)
	}
	return &Client{
		api: api,
	}, nil
}

// Invoke runs one completion to its end marker. A stream truncated after its first token is
// resumed on the same engine, at most maxResumes times. If the call fails or ctx is done
// after the request may have been sent, Invoke asks the engine to cancel the completion.
func (c *Client) Invoke(ctx context.Context, call pipeline.Call) (pipeline.Reply, error) {
	s := &stream{
		call: call,
	}
	var err error
	for range maxResumes + 1 {
		if err = c.read(ctx, s); err == nil {
			return pipeline.Reply{
				Output: s.text.String(),
				Load:   s.load,
			}, nil
		}
		if s.nextToken == 0 || ctx.Err() != nil || !errors.Is(err, ErrStreamTruncated) {
			break
		}
	}
	if s.sent {
		c.cancel(ctx, call)
	}
	var callErr *pipeline.CallError
	if errors.As(err, &callErr) {
		return pipeline.Reply{}, callErr
	}
	return pipeline.Reply{}, invoke.Classify(call.Addr, err, s.sent)
}

// stream is the state of a completion: the text received so far, and nextToken, the index
// of the next token.
type stream struct {
	call      pipeline.Call
	sent      bool
	nextToken int
	text      strings.Builder
	load      *upstream.Load
	// finished is set by the chunk that has a finish reason.
	finished bool
}

func (c *Client) read(ctx context.Context, s *stream) error {
	ctx, sent := invoke.TrackSent(ctx)
	res, err := c.api.Complete(ctx, newCompletion(s), upstreamapi.WithServerURL(invoke.BaseURL(s.call.Addr)))
	s.sent = s.sent || sent.Load()
	if err != nil {
		return invoke.Classify(s.call.Addr, err, s.sent)
	}
	raw, ok := res.(*upstreamapi.CompleteOKRawTextEventStream)
	if !ok {
		return fmt.Errorf("unexpected response type %T", res)
	}
	defer raw.Response.Body.Close()
	return s.decode(ctx, raw.Response.Body)
}

func newCompletion(s *stream) *upstreamapi.Completion {
	maxTokens := s.call.Stage.MaxTokens
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	req := &upstreamapi.Completion{
		Model:       s.call.Stage.Model,
		Prompt:      s.call.Input,
		MaxTokens:   upstreamapi.NewOptInt(maxTokens),
		Stream:      true,
		Priority:    upstreamapi.NewOptInt(s.call.Priority),
		RequestID:   s.call.AttemptID,
		RemainingMs: upstreamapi.NewOptInt64(s.call.Remaining.Milliseconds()),
	}
	if s.nextToken > 0 {
		req.ResumeFrom = upstreamapi.NewOptInt(s.nextToken)
	}
	return req
}

func (s *stream) decode(ctx context.Context, body io.Reader) error {
	dec := sse.NewDecoder(body, 0, maxEventBytes, "", nil)
	for {
		event, err := dec.Decode()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			var tooLong *httplimit.TooLongError
			if errors.As(err, &tooLong) {
				return tooLong // Resuming would read as much again.
			}
			return fmt.Errorf("%w: %w", ErrStreamTruncated, err)
		}
		if event.Data == endMarker {
			return s.checkFinished()
		}
		if err := s.addChunk(event.Data); err != nil {
			return err
		}
	}
}

func (s *stream) checkFinished() error {
	if !s.finished {
		return fmt.Errorf("%w: no finish reason", ErrStreamTruncated)
	}
	return nil
}

func (s *stream) addChunk(data string) error {
	var chunk upstreamapi.CompletionChunk
	if err := chunk.Decode(jx.DecodeStr(data)); err != nil {
		return fmt.Errorf("%w: decode chunk: %w", ErrStreamTruncated, err)
	}
	if chunk.ID != s.call.AttemptID {
		return &invoke.MismatchError{
			Field: "id",
			Got:   chunk.ID,
			Want:  s.call.AttemptID,
		}
	}
	if load, ok := chunk.Load.Get(); ok {
		s.load = invoke.ConvertLoad(load)
	}
	for _, choice := range chunk.Choices {
		s.finished = s.finished || choice.FinishReason.Or("") != ""
		if choice.Text == "" {
			continue
		}
		if chunk.TokenIndex < s.nextToken {
			continue // received before the stream was truncated
		}
		if chunk.TokenIndex > s.nextToken {
			return &invoke.MismatchError{
				Field: "token_index",
				Got:   fmt.Sprint(chunk.TokenIndex),
				Want:  fmt.Sprint(s.nextToken),
			}
		}
		s.text.WriteString(choice.Text)
		if s.call.OnToken != nil {
			s.call.OnToken(s.nextToken, choice.Text)
		}
		s.nextToken++
	}
	return nil
}

func (c *Client) cancel(ctx context.Context, call pipeline.Call) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer stop()
		_ = c.api.CancelCompletion(ctx, upstreamapi.CancelCompletionParams{
			RequestID: call.AttemptID,
		}, upstreamapi.WithServerURL(invoke.BaseURL(call.Addr)))
	}()
}
