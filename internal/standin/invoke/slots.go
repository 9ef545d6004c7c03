package invoke

import (
	"context"
	"sync"
)

// slots limits the number of running calls and the number of queued calls.
type slots struct {
	semaphore chan struct{}
	maxQueue  int

	mu       sync.Mutex
	inFlight int
	queued   int
}

func newSlots(capacity, maxQueue int) *slots {
	return &slots{
		semaphore: make(chan struct{}, capacity),
		maxQueue:  maxQueue,
	}
}

// acquire waits for a slot and reports whether it got one. It returns false with
// a nil error when the queue is full.
func (s *slots) acquire(ctx context.Context) (bool, error) {
	select {
	case s.semaphore <- struct{}{}:
		s.start(0)
		return true, nil
	default:
	}
	if !s.enqueue() {
		return false, nil
	}
	select {
	case s.semaphore <- struct{}{}:
		s.start(1)
		return true, nil
	case <-ctx.Done():
		s.dequeue()
		return false, ctx.Err()
	}
}

func (s *slots) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queued >= s.maxQueue {
		return false
	}
	s.queued++
	return true
}

func (s *slots) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
}

// start counts a call that acquired a slot as in flight. queued is the number of
// queue places that it gives up: 1 if it had to wait, otherwise 0.
func (s *slots) start(queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued -= queued
	s.inFlight++
}

func (s *slots) release() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
	<-s.semaphore
}

func (s *slots) count() (inFlight, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight, s.queued
}
