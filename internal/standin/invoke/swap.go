package invoke

import (
	"sync"
	"time"

	"sequoiafork/internal/wire/upstreamapi"
)

// swapWait is how long an answer is held for another to swap with.
const swapWait = 250 * time.Millisecond

// swapper exchanges answers in pairs.
type swapper struct {
	mu      sync.Mutex
	waiting chan *upstreamapi.InvocationResult
	held    *upstreamapi.InvocationResult
}

// swap returns the answer of another call, or result itself when none comes.
func (s *swapper) swap(result *upstreamapi.InvocationResult) *upstreamapi.InvocationResult {
	s.mu.Lock()
	if s.waiting != nil {
		other := s.held
		s.waiting <- result
		s.waiting = nil
		s.mu.Unlock()
		return other
	}
	mine := make(chan *upstreamapi.InvocationResult, 1)
	s.waiting = mine
	s.held = result
	s.mu.Unlock()
	select {
	case other := <-mine:
		return other
	case <-time.After(swapWait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == mine {
		s.waiting = nil
		return result
	}
	return <-mine
}
