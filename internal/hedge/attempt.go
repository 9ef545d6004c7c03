package hedge

import "time"

const (
	// minPace and maxPace bound the pace that an upstream reports.
	minPace = 0.25
	maxPace = 16
	// defaultSlots applies if the number of slots of an upstream is unknown.
	defaultSlots = 8
	// recheckFraction is the time until the next decision as a fraction of the time so far, at least minRecheck.
	recheckFraction = 0.25
	minRecheck      = 5 * time.Millisecond
	// minFreeShare is the share of the slots of a pool that must be free for a hedge. All daemons decide on reports
	// that are some time old, so that the last free slots may be taken by several.
	minFreeShare = 0.1
)

// factor returns by how much the load at an upstream lengthens an attempt.
func (l Load) factor() float64 {
	pace := 1.0
	if l.Pace > 0 {
		pace = min(max(l.Pace, minPace), maxPace)
	}
	slots := l.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return pace * (1 + float64(max(l.Queued, 0))/float64(slots))
}

// Attempt is the first attempt at a request. Its zero value is never hedged and records nothing.
type Attempt struct {
	kind   *kind
	tokens float64
	// base is the expected time in seconds at an upstream without a queue and with its usual pace, zero if unknown.
	base float64
	// factor is by how much the load of the upstream lengthens the attempt.
	factor float64
}

// Expected returns the expected time of the attempt, zero if unknown.
func (a Attempt) Expected() time.Duration { return duration(a.base * a.factor) }

// CheckAfter returns the time since the start of the attempt after which Decide is to be called if there is no response.
// It reports false if the attempt will not be hedged.
func (a Attempt) CheckAfter() (time.Duration, bool) {
	if a.base <= 0 {
		return 0, false
	}
	ratio, ok := a.kind.trigger(1 / a.factor)
	return duration(ratio * a.base * a.factor), ok
}

// Pool is the state of the upstreams that could take the second attempt.
type Pool struct {
	// Slots is the number of requests that they run at once, and Free how many more they can take now.
	Slots int
	Free  int
	// Queued is the number of requests that wait at upstreams of the pool.
	Queued int
}

// Reason is why no second attempt is made now.
type Reason string

// The reasons not to make a second attempt.
const (
	// PoolFull means that too few slots are free.
	PoolFull Reason = "pool_full"
	// Queueing means that requests wait at upstreams of the pool.
	Queueing Reason = "queueing"
	// NotWorth means that the expected gain does not exceed the expected extra work.
	NotWorth Reason = "not_worth"
	// NoWork means that the extra work that has been earned is used up.
	NoWork Reason = "no_work"
	// Sample means that the attempt is one of those that are not hedged, so that their times stay known.
	Sample Reason = "sample"
)

// Verdict is a decision: Hedge, Wait or Never.
type Verdict interface{ verdict() }

// Hedge means that the second attempt is to be made. The reservation must be settled or cancelled.
type Hedge struct {
	Reservation *Reservation
	// Gain is the expected time that it saves, and Cost the expected time for which both attempts run.
	Gain time.Duration
	Cost time.Duration
}

// Wait means that Decide is to be called again after a time.
type Wait struct {
	After  time.Duration
	Reason Reason
}

// Never means that this attempt is not hedged.
type Never struct {
	Reason Reason
}

func (Hedge) verdict() {}
func (Wait) verdict()  {}
func (Never) verdict() {}

// Decide decides about an attempt that has run for elapsed without a response. It reserves the work of a hedge.
func (a Attempt) Decide(elapsed time.Duration, p Pool) Verdict {
	if a.base <= 0 {
		return Never{
			Reason: NotWorth,
		}
	}
	wait := Wait{
		After: max(time.Duration(recheckFraction*float64(elapsed)), minRecheck),
	}
	scale := 1 / a.factor
	expected := a.base * a.factor
	prospect, ok := a.kind.prospect(elapsed.Seconds()/expected, scale)
	switch {
	case p.Queued > 0:
		wait.Reason = Queueing
	case p.Free < 1 || float64(p.Free) < minFreeShare*float64(p.Slots):
		wait.Reason = PoolFull
	case !ok || prospect.gain <= prospect.cost:
		wait.Reason = NotWorth
	case a.kind.takeSample():
		return Never{
			Reason: Sample,
		}
	default:
		reserved := elapsed.Seconds() + a.base*a.kind.highRatio()
		if r := a.kind.budget.reserve(reserved); r != nil {
			return Hedge{
				Reservation: r,
				Gain:        duration(prospect.gain * expected),
				Cost:        duration(prospect.cost * expected),
			}
		}
		wait.Reason = NoWork
	}
	return wait
}

// Ended records that the first attempt has got its response after a time.
func (a Attempt) Ended(took time.Duration) {
	if a.kind != nil {
		a.kind.observe(a, took.Seconds())
	}
}

// Abandoned records that the first attempt was ended without a response after a time, since the second one was faster.
func (a Attempt) Abandoned(after time.Duration) {
	if a.kind != nil {
		a.kind.observeAtLeast(a, after.Seconds())
	}
}

// Worked records the whole time that the request whose response the caller got has taken at its upstream.
func (a Attempt) Worked(total time.Duration) {
	if a.kind != nil {
		a.kind.worked(total.Seconds())
		a.kind.budget.earn(total.Seconds())
	}
}

// Balance returns the extra work that the pool of the attempt has earned and not used.
func (a Attempt) Balance() time.Duration {
	if a.kind == nil {
		return 0
	}
	return duration(a.kind.budget.available())
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
