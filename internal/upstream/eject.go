package upstream

import "time"

const (
	// ejectRate is the rate of failed or of slow attempts from which an
	// upstream is ejected, unless the others do much alike.
	ejectRate = 0.5
	// rampUpEjectRate is that rate soon after an ejection: one attempt.
	rampUpEjectRate = 0.3
	// recentSuccess is how long an answer tells that an upstream does not fail.
	recentSuccess = 10 * time.Second
	// busyFraction is the part of their slots from which the others count as busy.
	busyFraction = 0.8
	// outlierFactor is how much higher than the others' it has to be.
	outlierFactor = 2
	// slowFactor is how much longer than the group's mean an attempt takes to
	// count as slow. Attempts that were given up count by how long they ran.
	slowFactor = 2.5
	// ejectableDivisor is the part of a pool that may be ejected at once.
	ejectableDivisor = 3
	// initialLatencyFactor is the mean that a slow upstream comes back with, as a
	// multiple of the group's.
	initialLatencyFactor = 1.5
)

func (g *group) ejectIfFailing(m *member, now time.Time) {
	succeeded := func(o *member) bool { return now.Sub(o.lastOK) < recentSuccess }
	if m.failures >= ejectRate && g.isOutlier(m, (*member).failureRate, now) && g.halfOfOthers(m, succeeded, now) {
		g.eject(m, "fails", now)
	}
}

// ejectIfSlow ejects m after slow attempts, the last of which began at began,
// if most others have been quick since: not when all wait for one another.
func (g *group) ejectIfSlow(m *member, began, now time.Time) {
	minRate := ejectRate
	if m.ejections > 0 && now.Sub(m.ejectedUntil) < g.cfg.EjectMax {
		minRate = rampUpEjectRate
	}
	keptUp := func(o *member) bool { return o.lastNormalStart.After(began) }
	if m.slow >= minRate && g.isOutlier(m, (*member).slowRate, now) && g.halfOfOthers(m, keptUp, now) && !g.othersBusy(m, now) {
		g.eject(m, "is slow", now)
	}
}

// isOutlier reports whether m's rate is much higher than that of the others
// that take work.
func (g *group) isOutlier(m *member, rate func(*member) float64, now time.Time) bool {
	sum, n := 0.0, 0
	for _, o := range g.subset {
		if o != m && o.usable(now) {
			sum += rate(o)
			n++
		}
	}
	return n > 0 && rate(m) > outlierFactor*sum/float64(n)
}

// halfOfOthers reports whether is holds for at least half of the others that take work.
func (g *group) halfOfOthers(m *member, is func(*member) bool, now time.Time) bool {
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
	return work >= busyFraction*float64(slots)
}

func (m *member) failureRate() float64 { return m.failures }

func (m *member) slowRate() float64 { return m.slow }

// eject keeps work from m for a while, unless too many are ejected already.
func (g *group) eject(m *member, reason string, now time.Time) {
	if g.cfg.NoEjection || now.Before(m.ejectedUntil) {
		return
	}
	if g.ejectedCount(now)+1 > g.liveCount(now)/ejectableDivisor {
		return
	}
	if now.Sub(m.ejectedUntil) > g.cfg.EjectMax {
		m.ejections = 0
	}
	m.ejections++
	m.ejectedUntil = now.Add(min(g.cfg.EjectMin<<min(m.ejections-1, 16), g.cfg.EjectMax))
	m.ejectReason = reason
	m.failures = 0
	m.slow = 0
	m.probation = true
	m.latency = initialLatencyFactor * g.latency
}

// reinstate takes back ejections, the longest first, while so many upstreams died
// or left that more than the allowed part of the rest is ejected.
func (g *group) reinstate(now time.Time) {
	for g.ejectedCount(now) > g.liveCount(now)/ejectableDivisor {
		var longest *member
		for _, m := range g.subset {
			if m.state(now) == Live && now.Before(m.ejectedUntil) && (longest == nil || m.ejectedUntil.After(longest.ejectedUntil)) {
				longest = m
			}
		}
		longest.ejectedUntil = now
	}
}

// ejectedCount returns the number of members that are live but ejected.
func (g *group) ejectedCount(now time.Time) int {
	n := 0
	for _, m := range g.subset {
		if m.state(now) == Live && now.Before(m.ejectedUntil) {
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
