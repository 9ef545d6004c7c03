package admission

import (
	"sync"
	"time"

	"sequoiafork/internal/table"
)

const (
	// holdWeight is the weight of the newest hold time in the running mean.
	holdWeight = 0.05
	// gapWeight is the weight of the newest time between releases.
	gapWeight = 0.1
)

// queue is the state of one pool.
type queue struct {
	mu       sync.Mutex
	cfg      Config
	slots    int
	inUse    int
	waiting  int
	sequence uint64
	accounts map[string]*account
	// active holds the accounts with waiters.
	active []*account
	// busy is the time that slots were held since the last release.
	busy    time.Duration
	changed time.Time
	// hold is the running mean of the time that a slot is held.
	hold time.Duration
	// gap is the running mean of the time between two releases while requests
	// wait, and released the latest release while they did. Zero if none do.
	gap      time.Duration
	released time.Time
}

// account is the state of one workspace in one pool.
type account struct {
	workspace string
	weight    int
	inUse     int
	// last is the sequence number of the latest grant; it breaks ties.
	last    uint64
	waiters waiterHeap
	slot    Slot
}

func newQueue(cfg Config) *queue {
	return &queue{
		cfg:      cfg,
		accounts: make(map[string]*account),
	}
}

// enter gives a slot, a refusal, or a waiter to wait for.
func (q *queue) enter(r Request, now time.Time) (*waiter, *Slot, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tick(now)
	q.slots = r.Slots
	a := q.account(r)
	latest := q.latestStart(r)
	switch q.cfg.Discipline.(type) {
	case Unlimited:
		return nil, q.grant(a), nil
	case FIFO:
		if err := q.checkPassed(a, latest, now); err != nil {
			return nil, nil, err
		}
	case Fair:
		if err := q.checkPassed(a, latest, now); err != nil {
			return nil, nil, err
		}
	}
	q.dispatch(now)
	if q.waiting == 0 && q.inUse < q.slots {
		return nil, q.grant(a), nil
	}
	if err := q.checkQueue(a, latest, now); err != nil {
		return nil, nil, err
	}
	return q.enqueue(a, r.Deadline, latest), nil, nil
}

// latestStart returns the last moment at which a slot is of use to r, or zero if
// there is none. While requests wait, the calls queue at the upstreams as well:
// then the time that slots are held tells more than the request's own estimate.
func (q *queue) latestStart(r Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	need := r.MinServiceTime
	if q.waiting > 0 {
		need = max(need, q.hold)
	}
	return r.Deadline.Add(-need)
}

// tick adds up the time that slots were held.
func (q *queue) tick(now time.Time) {
	if !q.changed.IsZero() && now.After(q.changed) {
		q.busy += time.Duration(q.inUse) * now.Sub(q.changed)
	}
	q.changed = now
}

// account returns the account of the request's workspace with its weight now.
func (q *queue) account(r Request) *account {
	a, ok := q.accounts[r.Workspace]
	if !ok {
		a = &account{
			workspace: r.Workspace,
		}
		a.slot = Slot{
			queue:   q,
			account: a,
		}
		q.accounts[r.Workspace] = a
	}
	a.weight = weight(r.Pool.Shares, r.Workspace)
	return a
}

func weight(shares []table.Share, workspace string) int {
	for i := range shares {
		if shares[i].Workspace == workspace {
			return max(shares[i].Weight, 1)
		}
	}
	return 1
}

// grant charges one slot to a.
func (q *queue) grant(a *account) *Slot {
	q.sequence++
	a.last = q.sequence
	a.inUse++
	q.inUse++
	return &a.slot
}

// release gives one slot of a back and hands it on.
func (q *queue) release(a *account, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a.inUse == 0 {
		return
	}
	q.tick(now)
	q.observeHold()
	q.observeGap(now)
	a.inUse--
	q.inUse--
	q.dispatch(now)
}

// observeGap measures how fast slots come free while requests wait.
func (q *queue) observeGap(now time.Time) {
	if q.waiting == 0 {
		q.released = time.Time{}
		return
	}
	if q.released.IsZero() {
		q.gap = q.hold / time.Duration(max(q.slots, 1))
	} else {
		q.gap += time.Duration(gapWeight * float64(now.Sub(q.released)-q.gap))
	}
	q.released = now
}

// pace returns the time between two releases.
func (q *queue) pace() time.Duration {
	if q.released.IsZero() {
		return q.hold / time.Duration(max(q.slots, 1))
	}
	return q.gap
}

// observeHold takes the held time since the last release as that of one slot.
// With every release the sum of hold times is counted once, so the mean holds.
func (q *queue) observeHold() {
	if q.hold == 0 {
		q.hold = q.busy
	}
	q.hold += time.Duration(holdWeight * float64(q.busy-q.hold))
	q.busy = 0
}

// dispatch hands free slots to waiters.
func (q *queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.inUse < q.slots {
		w := q.next()
		if !w.latest.IsZero() && now.After(w.latest) {
			q.settle(w, q.refusalLocked(w.account, CodeDeadline, "no slot before the deadline"))
			continue
		}
		q.grant(w.account)
		q.settle(w, nil)
	}
}

// next returns the waiter that the next free slot goes to.
func (q *queue) next() *waiter {
	best := q.active[0]
	for _, a := range q.active[1:] {
		if q.before(a, best) {
			best = a
		}
	}
	return best.waiters[0]
}

// before reports whether a's turn comes before b's.
func (q *queue) before(a, b *account) bool {
	if _, ok := q.cfg.Discipline.(FIFO); ok {
		return a.waiters[0].sequence < b.waiters[0].sequence
	}
	// Compares inUse/weight without division.
	left, right := a.inUse*b.weight, b.inUse*a.weight
	if left != right {
		return left < right
	}
	return a.last < b.last
}
