package pipeline

import (
	"fmt"
	"sync"
)

// DivergedError reports that a new attempt at a stream produced a token that differs
// from the one already sent to the caller.
type DivergedError struct {
	Index     int
	Got, Want string
}

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("token %d of a new attempt is %q and the caller has %q", e.Index, e.Got, e.Want)
}

// splicer joins the attempts at a streamed stage into one stream. Tokens that an
// earlier attempt has forwarded are compared and not forwarded again.
type splicer struct {
	emit func(index int, text string)

	mu        sync.Mutex
	attempt   int
	forwarded []string
	diverged  *DivergedError
}

// begin returns the token callback of a new attempt. The callbacks of earlier attempts
// do nothing from then on.
func (s *splicer) begin() func(index int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt++
	attempt := s.attempt
	return func(index int, text string) { s.token(attempt, index, text) }
}

func (s *splicer) token(attempt, index int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt != s.attempt || s.diverged != nil {
		return
	}
	if index < len(s.forwarded) {
		if s.forwarded[index] != text {
			s.diverged = &DivergedError{
				Index: index,
				Got:   text,
				Want:  s.forwarded[index],
			}
		}
		return
	}
	s.forwarded = append(s.forwarded, text)
	s.emit(index, text)
}

// err returns the *DivergedError of the stream, or nil.
func (s *splicer) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.diverged == nil {
		return nil
	}
	return s.diverged
}
