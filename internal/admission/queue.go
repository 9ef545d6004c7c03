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

// poolState is the state of one pool.
type poolState struct {
	mu       sync.Mutex
	cfg      Config
	slots    int
	inUse    int
	waiting  int
	sequence uint64
	accounts map[string]*account
	// ordered holds all accounts in the order of their first requests. Estimates sum over
	// it: the sum of fractions depends on their order.
	ordered []*account
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
	// lastGrant is the sequence number of the latest grant. Among accounts with
	// equal inUse/weight, the one with the oldest grant is served first.
	lastGrant uint64
	waiters   waiterHeap
	slot      Slot
}

func newPoolState(cfg Config) *poolState {
	return &poolState{
		cfg:      cfg,
		accounts: make(map[string]*account),
	}
}

// acquireOrEnqueue returns a slot, a *RejectedError, or a queued waiter.
func (p *poolState) acquireOrEnqueue(r Request, now time.Time) (*waiter, *Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateHeldTime(now)
	p.slots = r.Slots
	a := p.account(r)
	latest := p.latestStart(r)
	switch p.cfg.Discipline.(type) {
	case Unlimited:
		return nil, p.grant(a, r.Granted), nil
	case FIFO:
		if err := p.checkLatestStart(a, latest, now); err != nil {
			return nil, nil, err
		}
	case Fair:
		if err := p.checkLatestStart(a, latest, now); err != nil {
			return nil, nil, err
		}
	}
	p.dispatch(now)
	if p.waiting == 0 && p.inUse < p.slots {
		return nil, p.grant(a, r.Granted), nil
	}
	if err := p.makeQueueSpace(a, r.Deadline, latest, now); err != nil {
		return nil, nil, err
	}
	return p.enqueue(a, r, latest), nil, nil
}

// latestStart returns the latest time at which a slot still lets r meet its deadline,
// or zero if r has no deadline. While requests wait, calls queue at the upstreams as
// well, so the measured hold time is a better estimate than the request's own.
func (p *poolState) latestStart(r Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	need := r.ServiceTime
	if p.waiting > 0 {
		need = max(need, p.meanHoldTime)
	}
	return r.Deadline.Add(-need)
}

// updateHeldTime adds the time that slots were held since the last update.
func (p *poolState) updateHeldTime(now time.Time) {
	if !p.heldTimeUpdated.IsZero() && now.After(p.heldTimeUpdated) {
		p.heldTime += time.Duration(p.inUse) * now.Sub(p.heldTimeUpdated)
	}
	p.heldTimeUpdated = now
}

// account returns the account of the request's workspace, with its weight updated
// from the request's pool.
func (p *poolState) account(r Request) *account {
	a, ok := p.accounts[r.Workspace]
	if !ok {
		a = &account{
			workspace: r.Workspace,
		}
		a.slot = Slot{
			pool:    p,
			account: a,
		}
		p.accounts[r.Workspace] = a
		p.ordered = append(p.ordered, a)
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

// grant charges one slot to a and tells the observer, if there is one.
func (p *poolState) grant(a *account, o GrantObserver) *Slot {
	p.sequence++
	a.lastGrant = p.sequence
	a.inUse++
	p.inUse++
	if o != nil {
		o.SlotGranted()
	}
	return &a.slot
}

// release returns one slot of a to the pool and grants it to the next waiter.
func (p *poolState) release(a *account, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.inUse == 0 {
		return
	}
	p.updateHeldTime(now)
	p.observeHoldTime()
	p.observeReleaseInterval(now)
	a.inUse--
	p.inUse--
	p.dispatch(now)
}

// observeReleaseInterval updates the mean release interval if requests wait.
func (p *poolState) observeReleaseInterval(now time.Time) {
	if p.waiting == 0 {
		p.lastRelease = time.Time{}
		return
	}
	if p.lastRelease.IsZero() {
		p.meanReleaseInterval = p.meanHoldTime / time.Duration(max(p.slots, 1))
	} else {
		p.meanReleaseInterval += time.Duration(releaseIntervalWeight * float64(now.Sub(p.lastRelease)-p.meanReleaseInterval))
	}
	p.lastRelease = now
}

// releaseInterval estimates the time between two releases.
func (p *poolState) releaseInterval() time.Duration {
	if p.lastRelease.IsZero() {
		return p.meanHoldTime / time.Duration(max(p.slots, 1))
	}
	return p.meanReleaseInterval
}

// observeHoldTime takes the slot time held since the last release as one sample of
// the hold time. The samples add up to the total of the hold times and there is one per
// release, so their mean is the mean hold time.
func (p *poolState) observeHoldTime() {
	if p.meanHoldTime == 0 {
		p.meanHoldTime = p.heldTime
	}
	p.meanHoldTime += time.Duration(holdTimeWeight * float64(p.heldTime-p.meanHoldTime))
	p.heldTime = 0
}

// dispatch grants free slots to waiters.
func (p *poolState) dispatch(now time.Time) {
	for p.waiting > 0 && p.inUse < p.slots {
		w := p.next(now)
		if !w.latestStart.IsZero() && now.After(w.latestStart) {
			p.resolve(w, p.rejectionLocked(w.account, CodeDeadline, "no slot before the deadline"))
			continue
		}
		p.grant(w.account, w.granted)
		p.resolve(w, nil)
	}
}

// next returns the waiter that gets the next free slot.
func (p *poolState) next(now time.Time) *waiter {
	best := p.active[0]
	for _, a := range p.active[1:] {
		if p.before(a, best) {
			best = a
		}
	}
	if _, ok := p.cfg.Discipline.(FIFO); ok {
		return best.waiters[0]
	}
	return p.nextOf(best, now)
}

// before reports whether a is served before b.
func (p *poolState) before(a, b *account) bool {
	if _, ok := p.cfg.Discipline.(FIFO); ok {
		return a.waiters[0].sequence < b.waiters[0].sequence
	}
	// Compares inUse/weight without division.
	left, right := a.inUse*b.weight, b.inUse*a.weight
	if left != right {
		return left < right
	}
	return a.lastGrant < b.lastGrant
}
