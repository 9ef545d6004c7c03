package upstream

import "time"

const (
	// failingRate is the rate of failed or of slow attempts from which an
	// upstream is ejected, unless the others do much alike.
	failingRate = 0.5
	// returnRate is that rate soon after an ejection: one attempt.
	returnRate = 0.3
	// recentOK is how long an answer tells that an upstream does not fail.
	recentOK = 10 * time.Second
	// busyPart is the part of their slots from which the others count as busy.
	busyPart = 0.8
	// failingFactor is how much higher than the others' it has to be.
	failingFactor = 2
	// slowFactor is how much longer than the group's mean an attempt takes to
	// count as slow. Attempts that were given up count by how long they ran.
	slowFactor = 2.5
	// ejectablePart is the part of a pool that may be ejected at once.
	ejectablePart = 3
	// returnLatency is the mean that a slow upstream comes back with, as a
	// multiple of the group's.
	returnLatency = 1.5
)

func (g *group) ejectIfFailing(m *member, now time.Time) {
	answered := func(o *member) bool { return now.Sub(o.lastOK) < recentOK }
	if m.failures >= failingRate && g.standsOut(m, (*member).failureRate, now) && g.most(m, answered, now) {
		g.eject(m, "fails", now)
	}
}

// ejectIfSlow ejects m after slow attempts, the last of which began at began,
// if most others have been quick since: not when all wait for one another.
func (g *group) ejectIfSlow(m *member, began, now time.Time) {
	least := failingRate
	if m.ejections > 0 && now.Sub(m.ejected) < g.cfg.EjectMax {
		least = returnRate
	}
	quick := func(o *member) bool { return o.quick.After(began) }
	if m.slow >= least && g.standsOut(m, (*member).slowRate, now) && g.most(m, quick, now) && !g.othersBusy(m, now) {
		g.eject(m, "is slow", now)
	}
}

// standsOut reports whether m's rate is much higher than that of the others
// that take work.
func (g *group) standsOut(m *member, rate func(*member) float64, now time.Time) bool {
	sum, n := 0.0, 0
	for _, o := range g.subset {
		if o != m && o.usable(now) {
			sum += rate(o)
			n++
		}
	}
	return n > 0 && rate(m) > failingFactor*sum/float64(n)
}

// most reports whether is holds for at least half of the others that take work.
func (g *group) most(m *member, is func(*member) bool, now time.Time) bool {
	yes, n := 0, 0
	for _, o := range g.subset {
		if o == m || !o.usable(now) {
			continue
		}
		n++
		if is(o) {
			yes++
		}
	}
	return yes > 0 && 2*yes >= n
}

// othersBusy reports whether the others have too few slots left to take over
// m's work.
func (g *group) othersBusy(m *member, now time.Time) bool {
	work, slots := 0.0, 0
	for _, o := range g.subset {
		if o != m && o.usable(now) {
			work += float64(o.inFlight) + o.otherWork(g.cfg.LoadHalfLife, now)
			slots += o.slots(0)
		}
	}
	return work >= busyPart*float64(slots)
}

func (m *member) failureRate() float64 { return m.failures }

func (m *member) slowRate() float64 { return m.slow }

// eject keeps work from m for a while, unless too many are ejected already.
func (g *group) eject(m *member, why string, now time.Time) {
	if g.cfg.NoEjection || now.Before(m.ejected) {
		return
	}
	if g.ejectedCount(now)+1 > g.liveCount(now)/ejectablePart {
		return
	}
	if now.Sub(m.ejected) > g.cfg.EjectMax {
		m.ejections = 0
	}
	m.ejections++
	m.ejected = now.Add(min(g.cfg.EjectMin<<min(m.ejections-1, 16), g.cfg.EjectMax))
	m.why = why
	m.failures = 0
	m.slow = 0
	m.trial = true
	m.latency = returnLatency * g.latency
}

// pardon takes back ejections, the longest first, while so many upstreams died
// or left that more than the allowed part of the rest is ejected.
func (g *group) pardon(now time.Time) {
	for g.ejectedCount(now) > g.liveCount(now)/ejectablePart {
		var last *member
		for _, m := range g.subset {
			if m.state(now) == Live && now.Before(m.ejected) && (last == nil || m.ejected.After(last.ejected)) {
				last = m
			}
		}
		last.ejected = now
	}
}

// ejectedCount returns the number of members that are live but ejected.
func (g *group) ejectedCount(now time.Time) int {
	n := 0
	for _, m := range g.subset {
		if m.state(now) == Live && now.Before(m.ejected) {
			n++
		}
	}
	return n
}

func (g *group) liveCount(now time.Time) int {
	n := 0
	for _, m := range g.subset {
		if m.state(now) == Live {
			n++
		}
	}
	return n
}
