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
func (p *poolState) check(r Request, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, unlimited := p.cfg.Discipline.(Unlimited); unlimited {
		return nil
	}
	p.updateHeldTime(now)
	p.slots = r.Slots
	a, latest := p.account(r), p.latestStart(r)
	if err := p.checkLatestStart(a, latest, now); err != nil {
		return err
	}
	p.dispatch(now)
	if p.waiting == 0 && p.inUse < p.slots {
		return nil
	}
	_, err := p.checkQueue(a, r.Deadline, latest, now)
	return err
}

// checkLatestStart rejects a request whose latest start has passed.
func (p *poolState) checkLatestStart(a *account, latest, now time.Time) error {
	if !latest.IsZero() && now.After(latest) {
		return p.rejectionLocked(a, CodeDeadline, "too little time is left")
	}
	return nil
}

// makeQueueSpace rejects a request that checkQueue rejects. Otherwise it rejects the waiter that the request
// displaces, if there is one.
func (p *poolState) makeQueueSpace(a *account, deadline, latest, now time.Time) error {
	displaced, err := p.checkQueue(a, deadline, latest, now)
	if err != nil {
		return err
	}
	if displaced != nil {
		p.resolve(displaced, p.rejectionLocked(displaced.account, CodeQueueFull, "too many requests wait"))
	}
	return nil
}

// checkQueue rejects a request that would wait too long or finds the queue full. If
// another workspace fills more than its share of a full queue, it returns the waiter of
// that workspace that the request displaces.
func (p *poolState) checkQueue(a *account, deadline, latest, now time.Time) (*waiter, error) {
	if err := p.checkWait(a, deadline, latest, now); err != nil {
		return nil, err
	}
	if p.waiting < p.cfg.MaxQueue {
		return nil, nil
	}
	longest := p.accountWithLongestQueue()
	if longest == a || len(longest.waiters)*a.weight <= (len(a.waiters)+1)*longest.weight {
		return nil, p.rejectionLocked(a, CodeQueueFull, "too many requests wait")
	}
	return longest.waiters.lowestPriority(), nil
}

// checkWait rejects a request if the pool has no slots, or if the estimated wait does
// not fit its deadline.
func (p *poolState) checkWait(a *account, deadline, latest, now time.Time) error {
	if p.slots <= 0 {
		return p.rejectionLocked(a, CodeNoCapacity, "no upstream of the pool takes work")
	}
	if _, fair := p.cfg.Discipline.(Fair); fair && !latest.IsZero() {
		wait := p.estimate(a, deadline)
		if now.Add(time.Duration(earlyRejectionFraction * float64(wait))).After(latest) {
			return p.rejectionLocked(a, CodeDeadline, fmt.Sprintf("the wait is about %v", wait.Round(time.Millisecond)))
		}
	}
	return nil
}

// estimate returns how long a request of a with the given deadline would wait: the time
// to serve the waiters of its workspace that are before it in the queue, at the number
// of slots that the workspace can expect.
func (p *poolState) estimate(a *account, deadline time.Time) time.Duration {
	ahead := 0
	for _, w := range a.waiters {
		if !w.deadline.IsZero() && !w.deadline.After(deadline) {
			ahead++
		}
	}
	return p.timeToSlots(a, ahead+1)
}

// timeToSlots returns the estimated time until a has got n more slots.
func (p *poolState) timeToSlots(a *account, n int) time.Duration {
	fraction := p.expectedSlots(a) / float64(max(p.slots, 1))
	return time.Duration(float64(n) / fraction * float64(p.releaseInterval()))
}

// expectedSlots returns the number of slots that a can expect: its fair share plus
// what the other accounts leave of theirs.
func (p *poolState) expectedSlots(a *account) float64 {
	own := p.fairShare(a)
	left := float64(max(p.slots, 1))
	for _, other := range p.ordered {
		if other != a {
			left -= min(float64(other.demand()), own*float64(other.weight)/float64(a.weight))
		}
	}
	return max(left, own)
}

// fairShare returns a's share of the slots by weight, among the accounts that hold or
// wait for slots.
func (p *poolState) fairShare(a *account) float64 {
	total := a.weight
	for _, other := range p.ordered {
		if other != a && other.demand() > 0 {
			total += other.weight
		}
	}
	return float64(max(p.slots, 1)) * float64(a.weight) / float64(total)
}

// demand returns the number of slots that a holds or waits for.
func (a *account) demand() int {
	return a.inUse + len(a.waiters)
}

// accountWithLongestQueue returns the account with the most waiters relative to its weight.
func (p *poolState) accountWithLongestQueue() *account {
	best := p.active[0]
	for _, a := range p.active[1:] {
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

// rejection is rejectionLocked for callers that don't hold p.mu.
func (p *poolState) rejection(a *account, code, message string) *RejectedError {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejectionLocked(a, code, message)
}

// rejectionLocked returns a *RejectedError whose Retry-After delay is the time until
// all waiters of a, and one more, have got slots. p.mu must be held.
func (p *poolState) rejectionLocked(a *account, code, message string) *RejectedError {
	after := p.timeToSlots(a, len(a.waiters)+1)
	return &RejectedError{
		Code:       code,
		Message:    message,
		RetryAfter: min(max(after, p.cfg.MinRetryAfter), p.cfg.MaxRetryAfter),
	}
}
