package forward

import (
	"context"
	"net/http"
	"time"

	"sequoiafork/internal/bytequota"
	"sequoiafork/internal/eventstream"
	"sequoiafork/internal/panics"
	"sequoiafork/internal/upstream"
)

// maxLeadingBytes bounds the blank lines and comments before the first event of a response. They are part of a complete
// body, but no event.
const maxLeadingBytes = 4 << 10

// streamAttempt is one attempt at a request whose response is a stream. It runs in its own goroutine.
type streamAttempt struct {
	choice upstream.Choice
	began  time.Time
	cancel context.CancelCauseFunc
	// received carries the response and then its events.
	received chan received
	// ended carries the error that ended the attempt, io.EOF after a complete stream.
	ended chan error
	// goesOn reports that the attempt is to go on with a stream that has begun.
	goesOn bool
	// response is nil until the response has begun.
	response *Response
	// firstEvent is the time to the first event, zero before it.
	firstEvent time.Duration
	// leading is what preceded the first event: blank lines and comments.
	leading []byte
	// settled reports that the response has gone on for quarantine.SettleTime.
	settled bool
	// lastReceived is the time of the last event, or of the start.
	lastReceived time.Time
}

// received is what an attempt has received: streamBegun, otherResponse or streamEvent.
type received interface{ isReceived() }

// streamBegun is the response whose events follow.
type streamBegun struct {
	response *Response
}

// otherResponse is a response that is not a stream. It ends the attempt. body is that of an error response that
// may be forwarded, or err says why it was not read.
type otherResponse struct {
	response *Response
	body     []byte
	err      error
}

// streamEvent is an event.
type streamEvent struct {
	event eventstream.Event
}

func (streamBegun) isReceived()   {}
func (otherResponse) isReceived() {}
func (streamEvent) isReceived()   {}

// attemptStream starts an attempt at an upstream.
func (x *execution) attemptStream(ctx context.Context, choice upstream.Choice) *streamAttempt {
	ctx, cancel := context.WithCancelCause(ctx)
	began := time.Now().Add(choice.Delay)
	a := &streamAttempt{
		choice:       choice,
		began:        began,
		cancel:       cancel,
		goesOn:       x.responseStarted,
		received:     make(chan received),
		ended:        make(chan error, 1),
		lastReceived: began,
	}
	call := x.call(choice)
	cfg := x.forwarder.cfg
	go func() {
		a.ended <- panics.Call(cfg.Logger, "stream", func() error { return a.run(ctx, cfg, call) })
	}()
	return a
}

// run makes the call and sends what is received. It returns when the response has ended or ctx is done.
func (a *streamAttempt) run(ctx context.Context, cfg Config, call Call) error {
	if failure := awaitTurn(ctx, a.choice); failure != nil {
		return failure
	}
	call.Remaining -= a.choice.Delay
	response, err := cfg.Client.Call(ctx, call)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if !isStream(response) {
		memory := cfg.Memory.Reserve()
		defer memory.ReleaseAfter(ctx)
		return a.send(ctx, readOther(call, response, memory, cfg.MaxResponseBytes))
	}
	if err := a.send(ctx, streamBegun{
		response: response,
	}); err != nil {
		return err
	}
	events := eventstream.NewReader(eventstream.Config{
		Source: response.Body,
		Memory: cfg.Memory,
	})
	var gaps eventGaps
	defer func() { a.choice.ObserveEventTime(gaps.median()) }()
	for {
		e, err := events.Next()
		if err != nil {
			return err
		}
		gaps.add(time.Now())
		if err := a.send(ctx, streamEvent{
			event: e,
		}); err != nil {
			return err
		}
	}
}

// send sends what was received unless ctx ends first.
func (a *streamAttempt) send(ctx context.Context, r received) error {
	select {
	case a.received <- r:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// isStream reports whether events of this request follow a response.
func isStream(r *Response) bool {
	return !r.NotRun && r.Status == http.StatusOK && r.Verified
}

// readOther reads the body of a response that is not a stream, if it is an error response that may be forwarded:
// that of a request that can't be retried.
func readOther(call Call, r *Response, memory *bytequota.Reservation, maxBytes int64) otherResponse {
	other := otherResponse{
		response: r,
	}
	if r.NotRun || !r.Verified || call.Retryable || impliesNotRun(r.Status) {
		return other
	}
	other.body, other.err = readBody(memory, call.Addr, r, maxBytes)
	return other
}

// receivedFrom returns the channels of an attempt, which are nil without one.
func receivedFrom(a *streamAttempt) (<-chan received, <-chan error) {
	if a == nil {
		return nil, nil
	}
	return a.received, a.ended
}
