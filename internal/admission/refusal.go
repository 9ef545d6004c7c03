package admission

import (
	"fmt"
	"time"
)

// earlyRejectionFraction is the part of the estimated wait that decides about an early
// refusal. Requests ahead that give up make the real wait shorter.
const earlyRejectionFraction = 0.3

// check returns the refusal that a request would get now.
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

// checkLatestStart refuses a request whose latest start has passed.
func (q *queue) checkLatestStart(a *account, latest, now time.Time) error {
	if !latest.IsZero() && now.After(latest) {
		return q.rejectionLocked(a, CodeDeadline, "too little time is left")
	}
	return nil
}

// checkQueueSpace refuses a request that has to wait and can't, and makes room in a
// full queue when another workspace fills more than its share of it.
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

// checkWait refuses a request that would wait for too long.
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

// estimate returns how long a request of a with the given latest start would
// wait: the work of its workspace that goes first, served at its share.
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

// timeToSlots returns the time in which a gets n slots.
func (q *queue) timeToSlots(a *account, n int) time.Duration {
	fraction := q.expectedSlots(a) / float64(max(q.slots, 1))
	return time.Duration(float64(n) / fraction * float64(q.releaseInterval()))
}

// expectedSlots returns the number of slots that a can count on: its fair expectedSlots, and
// what the others leave of theirs.
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

// fairShare returns a's fairShare share of the slots among the workspaces that want some.
func (q *queue) fairShare(a *account) float64 {
	total := a.weight
	for _, other := range q.accounts {
		if other != a && other.demand() > 0 {
			total += other.weight
		}
	}
	return float64(max(q.slots, 1)) * float64(a.weight) / float64(total)
}

// demand returns the number of slots that a has or waits for.
func (a *account) demand() int {
	return a.inUse + len(a.waiters)
}

// longestQueue returns the account that has the most waiters for its weight.
func (q *queue) longestQueue() *account {
	best := q.active[0]
	for _, a := range q.active[1:] {
		if len(a.waiters)*best.weight > len(best.waiters)*a.weight {
			best = a
		}
	}
	return best
}

// lowestPriority returns the waiter that would be served lowestPriority.
func (h waiterHeap) lowestPriority() *waiter {
	i := 0
	for j := range h {
		if h.Less(i, j) {
			i = j
		}
	}
	return h[i]
}

// rejection is refusalLocked for callers without the lock.
func (q *queue) rejection(a *account, code, message string) *RefusedError {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.rejectionLocked(a, code, message)
}

// rejectionLocked names the time that the waiters of a take at its share as the
// time to come back.
func (q *queue) rejectionLocked(a *account, code, message string) *RefusedError {
	after := q.timeToSlots(a, len(a.waiters)+1)
	return &RefusedError{
		Code:       code,
		Message:    message,
		RetryAfter: min(max(after, q.cfg.MinRetryAfter), q.cfg.MaxRetryAfter),
	}
}
