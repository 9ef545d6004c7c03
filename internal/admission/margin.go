package admission

import "time"

const (
	// safeMargin is the time that a waiter of an overlong queue must have left beyond the
	// mean hold time to be served in its turn, as a fraction of the mean hold time. Hold
	// times vary: a request with less would often hold its slot until its deadline in vain.
	safeMargin = 0.75
	// overlongFraction is the fraction of the estimated wait of a workspace's last waiter
	// that must not fit before the latest start of any of them for the queue to be
	// overlong. It is below 1 because waiters that are abandoned make the wait shorter.
	overlongFraction = 0.5
)

// nextOf returns the waiter of a that gets the next free slot: the one with the earliest
// deadline. While the queue is overlong, so that some of its waiters will get no slot in
// time in any case, that is the earliest deadline that leaves a safe margin, if there is
// one. It answers the load of a workspace that floods the pool for longer than its
// deadlines; a burst that the pool can still serve in time is served in full.
func (p *poolState) nextOf(a *account, now time.Time) *waiter {
	first := a.waiters[0]
	safe := now.Add(time.Duration(safeMargin * float64(p.meanHoldTime)))
	if first.startableAt(safe) || !p.overlong(a, now) {
		return first
	}
	best := -1
	for i, w := range a.waiters {
		if w.startableAt(safe) && (best < 0 || a.waiters.Less(i, best)) {
			best = i
		}
	}
	if best < 0 {
		return first
	}
	return a.waiters[best]
}

// startableAt reports whether w can meet its deadline with a slot that it gets at t.
func (w *waiter) startableAt(t time.Time) bool {
	return w.latestStart.IsZero() || !w.latestStart.Before(t)
}

// overlong reports whether a has more waiters than can get slots before the latest start
// of any of them.
func (p *poolState) overlong(a *account, now time.Time) bool {
	wait := overlongFraction * float64(p.timeToSlots(a, len(a.waiters)))
	end := now.Add(time.Duration(wait))
	for _, w := range a.waiters {
		if w.startableAt(end) {
			return false
		}
	}
	return true
}
