package admission

import (
	"sync"
	"time"

	"sequoiafork/internal/table"
)

const (
	// holdTimeWeight is the weight of the newest sample in the moving average of hold
	// times.
	holdTimeWeight = 0.05
	// releaseIntervalWeight is the weight of the newest sample in the moving average
	// of release intervals.
	releaseIntervalWeight = 0.1
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
	// active holds the accounts that have waiters.
	active []*account
	// heldTime is the sum over all slots of the time held since the last release,
	// up to heldTimeUpdated.
	heldTime        time.Duration
	heldTimeUpdated time.Time
	// meanHoldTime is the exponential moving average of the time that a slot is held.
	meanHoldTime time.Duration
	// meanReleaseInterval is the exponential moving average of the time between two
	// releases while requests wait. lastRelease is the time of the latest such
	// release, or zero if no request waited at the latest release.
	meanReleaseInterval time.Duration
	lastRelease         time.Time
}

// account is the state of one workspace in one pool.
type account struct {
	workspace string
	weight    int
	inUse     int
	// lastGrant is the sequence number of the latest grant. Between accounts with
	// equal use for their weight, the one served longest ago goes first.
	lastGrant uint64
	waiters   waiterHeap
	slot      Slot
}

func newQueue(cfg Config) *queue {
	return &queue{
		cfg:      cfg,
		accounts: make(map[string]*account),
	}
}

// acquireOrEnqueue returns a slot, a *RejectedError, or a queued waiter.
func (q *queue) acquireOrEnqueue(r Request, now time.Time) (*waiter, *Slot, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateHeldTime(now)
	q.slots = r.Slots
	a := q.account(r)
	latest := q.latestStart(r)
	switch q.cfg.Discipline.(type) {
	case Unlimited:
		return nil, q.grant(a), nil
	case FIFO:
		if err := q.checkLatestStart(a, latest, now); err != nil {
			return nil, nil, err
		}
	case Fair:
		if err := q.checkLatestStart(a, latest, now); err != nil {
			return nil, nil, err
		}
	}
	q.dispatch(now)
	if q.waiting == 0 && q.inUse < q.slots {
		return nil, q.grant(a), nil
	}
	if err := q.checkQueueSpace(a, latest, now); err != nil {
		return nil, nil, err
	}
	return q.enqueue(a, r.Deadline, latest), nil, nil
}

// latestStart returns the latest time at which a slot still lets r meet its deadline,
// or zero if r has no deadline. While requests wait, calls queue at the upstreams as
// well, so the measured hold time is a better estimate than the request's own.
func (q *queue) latestStart(r Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	need := r.MinServiceTime
	if q.waiting > 0 {
		need = max(need, q.meanHoldTime)
	}
	return r.Deadline.Add(-need)
}

// updateHeldTime adds the time that slots were held since the last update.
func (q *queue) updateHeldTime(now time.Time) {
	if !q.heldTimeUpdated.IsZero() && now.After(q.heldTimeUpdated) {
		q.heldTime += time.Duration(q.inUse) * now.Sub(q.heldTimeUpdated)
	}
	q.heldTimeUpdated = now
}

// account returns the account of the request's workspace, with its weight updated
// from the request's pool.
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
	a.lastGrant = q.sequence
	a.inUse++
	q.inUse++
	return &a.slot
}

// release returns one slot of a to the pool and grants it to the next waiter.
func (q *queue) release(a *account, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a.inUse == 0 {
		return
	}
	q.updateHeldTime(now)
	q.observeHoldTime()
	q.observeReleaseInterval(now)
	a.inUse--
	q.inUse--
	q.dispatch(now)
}

// observeReleaseInterval updates the mean release interval if requests wait.
func (q *queue) observeReleaseInterval(now time.Time) {
	if q.waiting == 0 {
		q.lastRelease = time.Time{}
		return
	}
	if q.lastRelease.IsZero() {
		q.meanReleaseInterval = q.meanHoldTime / time.Duration(max(q.slots, 1))
	} else {
		q.meanReleaseInterval += time.Duration(releaseIntervalWeight * float64(now.Sub(q.lastRelease)-q.meanReleaseInterval))
	}
	q.lastRelease = now
}

// releaseInterval estimates the time between two releases.
func (q *queue) releaseInterval() time.Duration {
	if q.lastRelease.IsZero() {
		return q.meanHoldTime / time.Duration(max(q.slots, 1))
	}
	return q.meanReleaseInterval
}

// observeHoldTime takes the slot time held since the last release as one sample of
// the hold time. The samples add up to the total of the hold times and there is one a
// release, so their mean is the mean hold time.
func (q *queue) observeHoldTime() {
	if q.meanHoldTime == 0 {
		q.meanHoldTime = q.heldTime
	}
	q.meanHoldTime += time.Duration(holdTimeWeight * float64(q.heldTime-q.meanHoldTime))
	q.heldTime = 0
}

// dispatch grants free slots to waiters.
func (q *queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.inUse < q.slots {
		w := q.next()
		if !w.latestStart.IsZero() && now.After(w.latestStart) {
			q.resolve(w, q.rejectionLocked(w.account, CodeDeadline, "no slot before the deadline"))
			continue
		}
		q.grant(w.account)
		q.resolve(w, nil)
	}
}

// next returns the waiter that gets the next free slot.
func (q *queue) next() *waiter {
	best := q.active[0]
	for _, a := range q.active[1:] {
		if q.before(a, best) {
			best = a
		}
	}
	return best.waiters[0]
}

// before reports whether a is served before b.
func (q *queue) before(a, b *account) bool {
	if _, ok := q.cfg.Discipline.(FIFO); ok {
		return a.waiters[0].sequence < b.waiters[0].sequence
	}
	// Compares inUse/weight without division.
	left, right := a.inUse*b.weight, b.inUse*a.weight
	if left != right {
		return left < right
	}
	return a.lastGrant < b.lastGrant
}
