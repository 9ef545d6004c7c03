package upstream

import "time"

const (
	// failingRate is the failure rate above which an upstream is ejected,
	// unless the others fail much alike.
	failingRate = 0.5
	// failingFactor is how much higher than the others' it has to be.
	failingFactor = 2
	// slowFactor is how much slower than the others an ejected one is.
	slowFactor = 3
	// suspectFactor is how much slower than the group's mean one is looked at.
	suspectFactor = 1.2
	// slowSamples is the number of times that must tell so, and
	// returnSamples the number soon after an ejection.
	slowSamples   = 8
	returnSamples = 3
	// ejectablePart is the part of a pool that may be ejected at once.
	ejectablePart = 3
	// returnLatency is the mean that a slow upstream comes back with, as a
	// multiple of the group's.
	returnLatency = 1.5
)

func (g *group) ejectIfFailing(m *member, now time.Time) {
	if m.failures < failingRate {
		return
	}
	sum, n := 0.0, 0
	for _, o := range g.subset {
		if o != m && o.usable(now) {
			sum += o.failures
			n++
		}
	}
	if n > 0 && m.failures > failingFactor*sum/float64(n) {
		g.eject(m, "fails", now)
	}
}

func (g *group) ejectIfSlow(m *member, now time.Time) {
	needed := slowSamples
	if m.ejections > 0 {
		needed = returnSamples
	}
	// The group's mean includes m, so this spares the scan in most cases.
	if m.samples < needed || m.latency <= suspectFactor*g.latency {
		return
	}
	sum, n := 0.0, 0
	for _, o := range g.subset {
		if o != m && o.latency > 0 && o.usable(now) {
			sum += o.latency
			n++
		}
	}
	if n > 0 && m.latency > slowFactor*sum/float64(n) {
		g.eject(m, "is slow", now)
	}
}

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
	m.samples = 0
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
