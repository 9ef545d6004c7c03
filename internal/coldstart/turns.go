package coldstart

import (
	"time"
)

const (
	// intervalMargin is by how much the interval between two planned requests exceeds the least one.
	intervalMargin = 0.05
	// maxLateness is how late a request may be sent after its turn.
	maxLateness = 100 * time.Millisecond
)

// Turn is the right to send one request to an upstream. The zero value is the right to send to one that is not cold.
type Turn struct {
	at    time.Time
	epoch int
	cold  bool
}

// Cold reports that the upstream counts as cold at the time of the turn.
func (t Turn) Cold() bool { return t.cold }

// Turns are the times at which this daemon may send to one upstream. They are not safe for concurrent use.
type Turns struct {
	rights *Rights
	key    uint64
	sole   bool
	mark   Mark
	units  int
	// version is that of the view for which units was computed.
	version int
	// next is the earliest time of the next turn, sentAt when a request was last sent to the cold upstream.
	next   time.Time
	sentAt time.Time
}

// NewTurns returns the turns at an upstream that the daemons share by rank. The key identifies the upstream.
func NewTurns(r *Rights, key uint64) *Turns {
	return &Turns{
		rights: r,
		key:    key,
	}
}

// NewOwnerTurns returns the turns at an upstream to which only the owner of the stage work sends.
func NewOwnerTurns(r *Rights) *Turns {
	return &Turns{
		rights: r,
		sole:   true,
	}
}

// Update sets what is known of the upstream.
func (t *Turns) Update(m Mark, now time.Time) {
	t.mark = m
	t.version = 0
	t.standing(now)
}

// standing returns the state of the rights, and adapts this daemon's part to the daemons that it knows now.
func (t *Turns) standing(now time.Time) standing {
	s := t.rights.standing(now)
	if s.version != t.version && now.Before(t.mark.Until) {
		t.version = s.version
		t.computeUnits()
	}
	return s
}

func (t *Turns) computeUnits() {
	v := t.rights.currentView()
	share := v.ownerShare()
	if !t.sole {
		share = v.share(t.key)
	}
	t.units = share.units(t.mark.Limit)
}

// Units returns how many requests this daemon may send to the cold upstream in any second.
func (t *Turns) Units() int { return t.units }

// PerSecond returns the rate at which this daemon has turns while the upstream is cold, in requests a second.
func (t *Turns) PerSecond() float64 {
	if t.units == 0 {
		return 0
	}
	return float64(time.Second) / float64(t.interval())
}

// Mark returns what is known of the upstream.
func (t *Turns) Mark() Mark { return t.mark }

// Cold reports whether the upstream counts as cold now: it is, or this daemon may have missed that it is.
func (t *Turns) Cold(now time.Time) bool { return now.Before(t.warmAt(t.rights.standing(now))) }

// warmAt returns when the upstream does not count as cold any more.
func (t *Turns) warmAt(s standing) time.Time {
	if s.doubtUntil.After(t.mark.Until) {
		return s.doubtUntil
	}
	return t.mark.Until
}

// Wait returns how long a request has to wait for a turn. If this daemon has none while the upstream is cold, that is the
// time until it is not.
func (t *Turns) Wait(now time.Time) time.Duration {
	s := t.standing(now)
	warm := t.warmAt(s)
	if !now.Before(warm) {
		return 0
	}
	at := warm
	if t.units > 0 && now.Before(t.mark.Until) {
		at = latest(now, t.next, t.sentAt.Add(t.interval()), s.from)
	}
	if at.After(warm) {
		at = warm
	}
	return at.Sub(now)
}

// Ready reports whether a request may be sent now.
func (t *Turns) Ready(now time.Time) bool { return t.Wait(now) == 0 }

// RetryAfter returns when a request that can't wait for a turn may come back. spread, from 0 to 1, distributes the
// returns over the time until the turn after.
func (t *Turns) RetryAfter(spread float64, now time.Time) time.Duration {
	wait := t.Wait(now)
	if wait == 0 {
		return 0
	}
	return wait + time.Duration(spread*float64(t.interval()))
}

// Take reserves the turn that Wait has found, at a time at or after now.
func (t *Turns) Take(at, now time.Time) Turn {
	s := t.standing(now)
	if !at.Before(t.warmAt(s)) {
		return Turn{}
	}
	t.next = at.Add(t.interval())
	if !at.After(now) {
		t.sentAt = now
	}
	return Turn{
		at:    at,
		epoch: s.epoch,
		cold:  true,
	}
}

// Begin reports whether a request that has waited for its turn may be sent now. It may not if the rights have lapsed
// since, if it is late, or if another one was sent less than a turn ago.
func (t *Turns) Begin(turn Turn, now time.Time) bool {
	s := t.standing(now)
	if !now.Before(t.warmAt(s)) {
		return true
	}
	if !turn.cold || turn.epoch != s.epoch || t.units == 0 || now.Before(s.from) {
		return false
	}
	if now.Sub(turn.at) > maxLateness || !t.sentAt.IsZero() && now.Sub(t.sentAt) <= t.minInterval() {
		return false
	}
	t.sentAt = now
	return true
}

// minInterval returns the time that must be exceeded between two requests, so that no second has more than units.
func (t *Turns) minInterval() time.Duration { return window / time.Duration(max(t.units, 1)) }

// interval returns the planned time between two requests.
func (t *Turns) interval() time.Duration {
	return time.Duration((1 + intervalMargin) * float64(t.minInterval()))
}

func latest(first time.Time, others ...time.Time) time.Time {
	for _, o := range others {
		if o.After(first) {
			first = o
		}
	}
	return first
}
