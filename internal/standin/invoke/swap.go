package invoke

import (
	"sync"
	"time"

	"sequoiafork/internal/wire/upstreamapi"
)

// swapTimeout is how long a result waits for another result to swap with.
const swapTimeout = 250 * time.Millisecond

// swapper exchanges the results of two concurrent calls.
type swapper struct {
	mu      sync.Mutex
	partner chan *upstreamapi.InvocationResult // Receives the result to swap with held; nil when no call waits.
	held    *upstreamapi.InvocationResult      // Result of the waiting call.
}

// swap returns the result of another call, or result itself when no other call
// arrives within swapTimeout.
func (s *swapper) swap(result *upstreamapi.InvocationResult) *upstreamapi.InvocationResult {
	s.mu.Lock()
	if s.partner != nil {
		other := s.held
		s.partner <- result
		s.partner = nil
		s.mu.Unlock()
		return other
	}
	mine := make(chan *upstreamapi.InvocationResult, 1)
	s.partner = mine
	s.held = result
	s.mu.Unlock()
	select {
	case other := <-mine:
		return other
	case <-time.After(swapTimeout):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partner == mine {
		s.partner = nil
		return result
	}
	return <-mine
}
