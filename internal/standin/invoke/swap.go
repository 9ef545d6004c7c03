package invoke

import (
	"sync"
	"time"

	"sequoiafork/internal/wire/upstreamapi"
)

// swapWait is how long an answer is held for another to swap with.
const swapTimeout = 250 * time.Millisecond

// swapper exchanges answers in pairs.
type swapper struct {
	mu      sync.Mutex
	partner chan *upstreamapi.InvocationResult
	held    *upstreamapi.InvocationResult
}

// swap returns the answer of another call, or result itself when none comes.
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
