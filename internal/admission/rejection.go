package admission

import (
	"fmt"
	"time"
)

// earlyRejectionFraction is the fraction of the estimated wait that must fit before the
// latest start; otherwise the request is rejected on arrival. It is below 1 because
// requests ahead in the queue that are abandoned make the real wait shorter.
const earlyRejectionFraction = 0.3

// check returns the rejection that a request would get now, or nil.
func (q *queue) check(r Request, now time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, unlimited := q.cfg.Discipline.(Unlimited); unlimited {
		return nil
	}
	q.slots = r.Slots
	a, latest := q.account(r), q.latestStart(r)
	if err := q.checkLatestStart(a, latest, now); err != nil || (q.waiting == 0 && q.inUse < q.slots) {
		return err
	}
	return q.checkWait(a, latest, now)
}

// checkLatestStart rejects a request whose latest start has passed.
func (q *queue) checkLatestStart(a *account, latest, now time.Time) error {
	if !latest.IsZero() && now.After(latest) {
		return q.rejectionLocked(a, CodeDeadline, "too little time is left")
	}
	return nil
}

// checkQueueSpace rejects a request that would wait too long or finds the queue full.
// If another workspace fills more than its share of a full queue, it rejects a waiter
// of that workspace instead.
func (q *queue) checkQueueSpace(a *account, latest, now time.Time) error {
	if err := q.checkWait(a, latest, now); err != nil {
		return err
	}
	if q.waiting < q.cfg.MaxQueue {
		return nil
	}
	longest := q.longestQueue()
	if longest == a || len(longest.waiters)*a.weight <= (len(a.waiters)+1)*longest.weight {
		return q.rejectionLocked(a, CodeQueueFull, "too many requests wait")
	}
	last := longest.waiters.lowestPriority()
	q.resolve(last, q.rejectionLocked(longest, CodeQueueFull, "too many requests wait"))
	return nil
}

// checkWait rejects a request if the pool has no slots, or if the estimated wait does
// not fit its deadline.
func (q *queue) checkWait(a *account, latest, now time.Time) error {
	if q.slots <= 0 {
		return q.rejectionLocked(a, CodeNoCapacity, "no upstream of the pool takes work")
	}
	if _, fair := q.cfg.Discipline.(Fair); fair && !latest.IsZero() {
		wait := q.estimate(a, latest)
		if now.Add(time.Duration(earlyRejectionFraction * float64(wait))).After(latest) {
			return q.rejectionLocked(a, CodeDeadline, fmt.Sprintf("the wait is about %v", wait.Round(time.Millisecond)))
		}
	}
	return nil
}

// estimate returns how long a request of a with the given latest start would wait:
// the time to serve the waiters of its workspace that go first, at the number of
// slots that the workspace can expect.
func (q *queue) estimate(a *account, latest time.Time) time.Duration {
	ahead := 0
	for _, w := range a.waiters {
		if w.latestStart.IsZero() || w.latestStart.After(latest) {
			continue
		}
		ahead++
	}
	return q.timeToSlots(a, ahead+1)
}

// timeToSlots returns the estimated time until a has got n more slots.
func (q *queue) timeToSlots(a *account, n int) time.Duration {
	fraction := q.expectedSlots(a) / float64(max(q.slots, 1))
	return time.Duration(float64(n) / fraction * float64(q.releaseInterval()))
}

// expectedSlots returns the number of slots that a can expect: its fair share plus
// what the other accounts leave of theirs.
func (q *queue) expectedSlots(a *account) float64 {
	own := q.fairShare(a)
	left := float64(max(q.slots, 1))
	for _, other := range q.accounts {
		if other != a {
			left -= min(float64(other.demand()), own*float64(other.weight)/float64(a.weight))
		}
	}
	return max(left, own)
}

// fairShare returns a's share of the slots by weight, among the accounts that hold or
// wait for slots.
func (q *queue) fairShare(a *account) float64 {
	total := a.weight
	for _, other := range q.accounts {
		if other != a && other.demand() > 0 {
			total += other.weight
		}
	}
	return float64(max(q.slots, 1)) * float64(a.weight) / float64(total)
}

// demand returns the number of slots that a holds or waits for.
func (a *account) demand() int {
	return a.inUse + len(a.waiters)
}

// longestQueue returns the account with the most waiters relative to its weight.
func (q *queue) longestQueue() *account {
	best := q.active[0]
	for _, a := range q.active[1:] {
		if len(a.waiters)*best.weight > len(best.waiters)*a.weight {
			best = a
		}
	}
	return best
}

// lowestPriority returns the waiter that would be served last.
func (h waiterHeap) lowestPriority() *waiter {
	i := 0
	for j := range h {
		if h.Less(i, j) {
			i = j
		}
	}
	return h[i]
}

// rejection is rejectionLocked for callers that don't hold q.mu.
func (q *queue) rejection(a *account, code, message string) *RejectedError {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.rejectionLocked(a, code, message)
}

// rejectionLocked returns a *RejectedError whose retry-after time is the time until all
// waiters of a, and one more, have got slots. q.mu must be held.
func (q *queue) rejectionLocked(a *account, code, message string) *RejectedError {
	after := q.timeToSlots(a, len(a.waiters)+1)
	return &RejectedError{
		Code:       code,
		Message:    message,
		RetryAfter: min(max(after, q.cfg.MinRetryAfter), q.cfg.MaxRetryAfter),
	}
}
