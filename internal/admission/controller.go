package admission

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Controller grants slots. It is safe for concurrent use; each pool has its own lock.
type Controller struct {
	cfg   Config
	pools sync.Map // pool name to *poolState
}

// New returns a Controller.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg.withDefaults(),
	}
}

// Slot is a granted slot of a pool. All slots of one workspace in one pool share
// the same Slot value.
type Slot struct {
	pool    *poolState
	account *account
}

// Release returns the slot to the pool. It must be called once for each Acquire.
func (s *Slot) Release() {
	s.pool.release(s.account, time.Now())
}

// OverFairShare reports whether the slot's workspace currently holds more than its
// fair share of the pool's slots.
func (s *Slot) OverFairShare() bool {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(s.account.inUse) > p.fairShare(s.account)
}

// Acquire waits for a slot. It returns a *RejectedError if the request is rejected, and
// the context's error if ctx is done first.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	p := c.pool(r.Pool.Name)
	w, slot, err := p.acquireOrEnqueue(r, time.Now())
	if err != nil || slot != nil {
		return slot, err
	}
	return p.wait(ctx, w)
}

func (c *Controller) pool(name string) *poolState {
	if v, ok := c.pools.Load(name); ok {
		return v.(*poolState)
	}
	v, _ := c.pools.LoadOrStore(name, newPoolState(c.cfg))
	return v.(*poolState)
}

// wait blocks until w is resolved, its latest start passes or ctx is done.
func (p *poolState) wait(ctx context.Context, w *waiter) (*Slot, error) {
	var expired <-chan time.Time
	if !w.latestStart.IsZero() {
		t := time.NewTimer(time.Until(w.latestStart))
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-w.done:
	case <-expired:
		p.abandon(w, p.rejection(w.account, CodeDeadline, "no slot before the deadline"))
	case <-ctx.Done():
		p.abandon(w, fmt.Errorf("admission: %w", ctx.Err()))
	}
	<-w.done
	if w.err != nil {
		return nil, w.err
	}
	return &w.account.slot, nil
}

// Check returns the *RejectedError that Acquire would return at once, or nil. It takes
// no slot and no place in the queue.
func (c *Controller) Check(r Request) error {
	return c.pool(r.Pool.Name).check(r, time.Now())
}

// Waiting returns the number of requests that wait for a slot of the pool.
func (c *Controller) Waiting(pool string) int {
	p := c.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting
}
