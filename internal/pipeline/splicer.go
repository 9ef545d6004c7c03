package pipeline

import (
	"fmt"
	"sync"
)

// DivergedError is a second attempt at a stream whose tokens differ from those
// that the caller already has.
type DivergedError struct {
	Index     int
	Got, Want string
}

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("token %d of a new attempt is %q and the caller has %q", e.Index, e.Got, e.Want)
}

// splicer joins the attempts at a streamed stage into one stream. Tokens that an
// earlier attempt has passed on are compared and left out.
type splicer struct {
	emit func(index int, text string)

	mu        sync.Mutex
	attempt   int
	forwarded []string
	diverged  *DivergedError
}

// begin returns the token function of a new attempt; that of an earlier one does
// nothing from now on.
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

func (s *splicer) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.diverged == nil {
		return nil
	}
	return s.diverged
}
