package admission

import (
	"container/heap"
	"slices"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	account     *account
	deadline    time.Time
	latestStart time.Time
	sequence    uint64
	index       int
	granted     GrantObserver
	err         error
	// done is closed once err is final. A nil err means that a slot was granted.
	done chan struct{}
}

// enqueue adds a waiter for r to a's queue.
func (p *poolState) enqueue(a *account, r Request, latest time.Time) *waiter {
	p.sequence++
	w := &waiter{
		account:     a,
		deadline:    r.Deadline,
		latestStart: latest,
		sequence:    p.sequence,
		granted:     r.Granted,
		done:        make(chan struct{}),
	}
	if _, ok := p.cfg.Discipline.(FIFO); ok {
		w.deadline = time.Time{}
	}
	if len(a.waiters) == 0 {
		p.active = append(p.active, a)
	}
	heap.Push(&a.waiters, w)
	p.waiting++
	return w
}

// resolve removes w from the queue and sets its outcome: err, or nil for a granted
// slot.
func (p *poolState) resolve(w *waiter, err error) {
	a := w.account
	heap.Remove(&a.waiters, w.index)
	if len(a.waiters) == 0 {
		i := slices.Index(p.active, a)
		p.active = slices.Delete(p.active, i, i+1)
	}
	p.waiting--
	w.err = err
	close(w.done)
}

// abandon resolves w with err, unless it is already resolved.
func (p *poolState) abandon(w *waiter, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.done:
	default:
		p.resolve(w, err)
	}
}

// waiterHeap orders waiters by deadline, those without a deadline last.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.deadline.Equal(b.deadline) {
		return a.sequence < b.sequence
	}
	if a.deadline.IsZero() || b.deadline.IsZero() {
		return b.deadline.IsZero()
	}
	return a.deadline.Before(b.deadline)
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a *waiter. It implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter. It implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
