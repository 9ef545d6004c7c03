package topic

import (
	"context"
	"sync"
	"time"
)

// minPauseFraction is the part of its own backoff that a follower pauses at least, so that a topic
// that fails alone is not read again each time that another one succeeds.
const minPauseFraction = 0.5

// maxPeerPause bounds the pause of a follower that has read the store before: other daemons may
// reach the store again sooner than this one.
const maxPeerPause = 500 * time.Millisecond

// BreakerConfig configures a Breaker. Backoff is required.
type BreakerConfig struct {
	// Backoff returns the time between two calls after a number of consecutive failures.
	Backoff func(failures int) time.Duration
	// OnFailure and OnSuccess are called with each result.
	OnFailure func()
	OnSuccess func()
}

// Breaker is the circuit breaker of the calls that one daemon makes to the store, shared by its
// followers. While calls fail it lets one through after each backoff, also if the one before has
// had no response yet, so that the end of an outage is noticed within a backoff. Before the first
// success every call is let through. It is safe for concurrent use.
type Breaker struct {
	cfg BreakerConfig

	mu          sync.Mutex
	called      bool // a call has succeeded
	succeededAt time.Time
	failures    int // consecutive failures of all followers
	retryAt     time.Time
	// closedAt is when a call last succeeded after failures. closed is closed and replaced then.
	closedAt time.Time
	closed   chan struct{}
}

// NewBreaker returns a breaker that lets calls through.
func NewBreaker(cfg BreakerConfig) *Breaker {
	return &Breaker{
		cfg:    cfg,
		closed: make(chan struct{}),
	}
}

// Allow reports whether the store may be called now. While calls fail, the one that it allows is
// the only one until the next backoff is over.
func (b *Breaker) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.called || b.failures == 0 {
		return true
	}
	now := time.Now()
	if now.Before(b.retryAt) {
		return false
	}
	b.retryAt = now.Add(b.cfg.Backoff(b.failures))
	return true
}

// Open reports whether calls fail.
func (b *Breaker) Open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures > 0
}

// AnsweredAt returns when the store last answered a call, zero if it has answered none.
func (b *Breaker) AnsweredAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.succeededAt
}

// Overdue records that a call has had no response for so long that other daemons are asked. Its result is still reported.
func (b *Breaker) Overdue() { callIfSet(b.cfg.OnFailure) }

// Report records the result of a call that began at a time. The failure of a call that began before
// the last success is not counted: calls overlap.
func (b *Breaker) Report(began time.Time, ok bool) {
	if ok {
		callIfSet(b.cfg.OnSuccess)
		b.recordSuccess()
		return
	}
	if b.recordFailure(began) {
		callIfSet(b.cfg.OnFailure)
	}
}

func (b *Breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.called = true
	b.succeededAt = time.Now()
	if b.failures > 0 {
		b.closedAt = b.succeededAt
		close(b.closed)
		b.closed = make(chan struct{})
	}
	b.failures = 0
}

// recordFailure reports whether the failure counts.
func (b *Breaker) recordFailure(began time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if began.Before(b.succeededAt) {
		return false
	}
	b.failures++
	if b.failures == 1 {
		b.retryAt = time.Now().Add(b.cfg.Backoff(b.failures))
	}
	return true
}

// Attempt is a read of a follower that failed.
type Attempt struct {
	Began time.Time
	// CalledStore reports that it called the store, rather than only other daemons.
	CalledStore bool
	// Backoff is how long the follower pauses if it has nothing else to go by.
	Backoff time.Duration
}

// minPause returns the shortest pause after a failed read.
func (a Attempt) minPause() time.Duration {
	if !a.CalledStore {
		return 0
	}
	return time.Duration(minPauseFraction * float64(a.Backoff))
}

// Wait pauses a follower after a failed read: for its backoff, or until a call of another follower
// has succeeded or the store may be called again.
func (b *Breaker) Wait(ctx context.Context, a Attempt) {
	closed, pause := b.nextCall(a)
	if pause <= 0 {
		return
	}
	timeout := time.NewTimer(pause)
	defer timeout.Stop()
	began := time.Now()
	select {
	case <-closed:
		sleep(ctx, a.minPause()-time.Since(began))
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// nextCall returns how long a follower pauses after a failed read, and a channel that is closed when
// a call succeeds.
func (b *Breaker) nextCall(a Attempt) (<-chan struct{}, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.closedAt.After(a.Began):
		return b.closed, a.minPause()
	case b.called && b.failures > 0:
		return b.closed, min(a.Backoff, maxPeerPause, max(time.Until(b.retryAt), a.minPause()))
	}
	return b.closed, a.Backoff
}
