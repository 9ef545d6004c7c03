package engine

import (
	"container/heap"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/standin/unserved"
	"sequoiafork/internal/wire/upstreamapi"
)

// Complete streams the tokens of a completion as server-sent events.
func (e *Engine) Complete(ctx context.Context, req *upstreamapi.Completion, w http.ResponseWriter) error {
	s, err := e.attach(req)
	if err != nil {
		return err
	}
	defer e.detach(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	stream := &eventStream{
		writer: w,
		id:     req.RequestID,
	}
	if e.control.Faults.TakeWrongAttemptID() {
		stream.id = "r-00000000-0000-7000-8000-000000000000.0.0"
	}
	return e.send(ctx, s, req.ResumeFrom.Or(0), stream)
}

// send writes the tokens from index next on as they are produced. It returns nil
// without a final event when the client disconnects or the completion is removed.
func (e *Engine) send(ctx context.Context, s *sequence, next int, stream *eventStream) error {
	for {
		produced, removed, changed := e.progress(s)
		for ; next < produced; next++ {
			if err := stream.writeToken(e, s, next); err != nil {
				return nil
			}
		}
		if produced == len(s.tokens) {
			return stream.writeDone()
		}
		if removed {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// progress returns the number of tokens produced, whether s was removed, and a
// channel that is closed at the next change.
func (e *Engine) progress(s *sequence) (produced int, removed bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.produced, s.removed, s.changed
}

// attach queues a new completion, or attaches to one that the engine still
// holds. Each call must be matched by a call of detach.
func (e *Engine) attach(req *upstreamapi.Completion) (*sequence, error) {
	if e.control.Faults.Current().Leaving.Or(false) {
		return nil, unserved.UpstreamError(http.StatusServiceUnavailable, "leaving", "this engine is leaving")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.wakeRun()
	if s, ok := e.sequences[req.RequestID]; ok {
		return e.resume(s, req)
	}
	if _, resumes := req.ResumeFrom.Get(); resumes {
		return nil, unserved.UpstreamError(http.StatusNotFound, "not_found", "request_id: this engine does not hold the completion")
	}
	if !slices.Contains(e.models, req.Model) {
		return nil, unserved.UpstreamError(http.StatusNotFound, "not_found", fmt.Sprintf("model: %q is not loaded", req.Model))
	}
	if len(e.queue) >= e.maxQueue {
		return nil, unserved.UpstreamError(http.StatusServiceUnavailable, "overloaded", "the queue is full")
	}
	s := &sequence{
		id:       req.RequestID,
		priority: req.Priority.Or(0),
		prompt:   req.Prompt,
		tokens:   oracle.Tokens(req.Model, req.Prompt, req.MaxTokens.Or(0)),
		changed:  make(chan struct{}),
	}
	e.sequences[s.id] = s
	e.enqueue(s)
	return s, nil
}

func (e *Engine) resume(s *sequence, req *upstreamapi.Completion) (*sequence, error) {
	if req.Prompt != s.prompt || req.ResumeFrom.Or(0) > len(s.tokens) {
		return nil, unserved.UpstreamError(http.StatusBadRequest, "bad_request", "request_id: held for another completion")
	}
	e.enqueue(s)
	return s, nil
}

func (e *Engine) enqueue(s *sequence) {
	s.readers++
	if s.running || s.queued || s.finished() {
		return
	}
	e.lastArrival++
	s.arrival = e.lastArrival
	s.queued = true
	heap.Push(&e.queue, s)
}

func (e *Engine) detach(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.lastDetach = time.Now()
}

// CancelCompletion stops and removes a completion.
func (e *Engine) CancelCompletion(_ context.Context, params upstreamapi.CancelCompletionParams) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sequences[params.RequestID]; ok {
		e.remove(params.RequestID, s)
	}
	return nil
}

// eventStream writes chunks as server-sent events.
type eventStream struct {
	writer http.ResponseWriter
	id     string
}

func (s *eventStream) writeToken(e *Engine, seq *sequence, index int) error {
	chunk := upstreamapi.CompletionChunk{
		ID:         s.id,
		TokenIndex: index,
		Choices: []upstreamapi.CompletionChoice{
			{
				Index: 0,
				Text:  seq.tokens[index],
			},
		},
	}
	if index == len(seq.tokens)-1 {
		chunk.Choices[0].FinishReason = upstreamapi.NewOptString("length")
		chunk.Usage = upstreamapi.NewOptCompletionUsage(upstreamapi.CompletionUsage{
			PromptTokens:     len(seq.prompt),
			CompletionTokens: len(seq.tokens),
			CachedTokens:     e.cachedBytes(seq),
		})
		chunk.Load = upstreamapi.NewOptLoad(e.currentLoad())
	}
	var enc jx.Encoder
	chunk.Encode(&enc)
	return s.writeEvent(enc.Bytes())
}

// ShowCompletion returns the text produced so far by a completion that the
// engine still holds.
func (e *Engine) ShowCompletion(_ context.Context, params upstreamapi.ShowCompletionParams) (*upstreamapi.CompletionChunk, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[params.RequestID]
	if !ok {
		return nil, unserved.UpstreamError(http.StatusNotFound, "not_found", "request_id: this engine does not hold the completion")
	}
	choice := upstreamapi.CompletionChoice{
		Text: strings.Join(s.tokens[:s.produced], ""),
	}
	if s.finished() {
		choice.FinishReason = upstreamapi.NewOptString("length")
	}
	return &upstreamapi.CompletionChunk{
		ID:      s.id,
		Choices: []upstreamapi.CompletionChoice{choice},
	}, nil
}

func (s *eventStream) writeDone() error {
	return s.writeEvent([]byte("[DONE]"))
}

func (s *eventStream) writeEvent(data []byte) error {
	if _, err := fmt.Fprintf(s.writer, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(s.writer).Flush()
}

func (e *Engine) cachedBytes(s *sequence) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.cachedBytes
}
