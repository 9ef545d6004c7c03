package callerhttp

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-faster/jx"

	"sequoiafork/internal/ident"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/wire/callerapi"
)

// StreamRoute runs a request and streams its tokens as they arrive. The final event
// has done or error set; a stream without such an event is incomplete.
func (h *Handler) StreamRoute(ctx context.Context, req *callerapi.Call, params callerapi.StreamRouteParams, w http.ResponseWriter) error {
	r, rejection := newRequest(req, params.Route, params.IdempotencyKey)
	if rejection != nil {
		return &outcomeError{
			outcome: *rejection,
		}
	}
	r.ID = ident.NewRequestID()
	s := &eventStream{
		w:  w,
		id: r.ID,
	}
	r.OnToken = s.writeToken
	o := h.service.Serve(ctx, r)
	return s.finish(o)
}

// eventStream writes StreamEvents. It writes the HTTP header with the first event, so
// that a request that ends without any can still be given an error status.
type eventStream struct {
	w  http.ResponseWriter
	id string

	mu      sync.Mutex
	started bool
	ended   bool
}

func (s *eventStream) writeToken(index int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.write(&callerapi.StreamEvent{
		RequestID: s.id,
		Index:     callerapi.NewOptInt(index),
		Text:      callerapi.NewOptString(text),
	})
}

func (s *eventStream) finish(o outcome.Outcome) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	a, answered := o.(outcome.Answered)
	if !answered && !s.started {
		return &outcomeError{
			outcome: o,
		}
	}
	event := &callerapi.StreamEvent{
		RequestID: s.id,
	}
	if answered {
		event.Done = callerapi.NewOptAnswer(*wireAnswer(a))
	} else {
		event.Error = callerapi.NewOptOutcome(*wireOutcome(o))
	}
	s.write(event)
	return nil
}

func (s *eventStream) write(event *callerapi.StreamEvent) {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.Header().Set("X-Request-Id", s.id)
		s.w.WriteHeader(http.StatusOK)
	}
	var e jx.Encoder
	event.Encode(&e)
	body := append([]byte("data: "), e.Bytes()...)
	_, _ = s.w.Write(append(body, '\n', '\n'))
	_ = http.NewResponseController(s.w).Flush()
}
