package upstream

import "time"

const (
	// ejectRate is the rate of failed or of slow attempts from which an
	// upstream is ejected, unless the others have similar rates. Rates are
	// moving means from 0 to 1.
	ejectRate = 0.5
	// repeatEjectRate is the rate of slow attempts from which an upstream is
	// ejected again within EjectMax of the end of its last ejection: one slow
	// attempt reaches it.
	repeatEjectRate = 0.3
	// recentSuccessWindow is how long after a success an upstream counts as working.
	recentSuccessWindow = 10 * time.Second
	// busyFraction is the fraction of their slots in use from which the other
	// upstreams count as busy.
	busyFraction = 0.8
	// outlierFactor is how many times the others' mean rate an upstream's rate
	// must exceed.
	outlierFactor = 2
	// slowFactor is how much longer than the group's mean an attempt takes to
	// count as slow. A cancelled attempt counts with the time for which it ran.
	slowFactor = 2.5
	// ejectableDivisor limits ejections: at most one in ejectableDivisor live
	// upstreams may be ejected at once.
	ejectableDivisor = 3
	// initialLatencyFactor sets the mean latency of an upstream after an
	// ejection, as a multiple of the group's.
	initialLatencyFactor = 1.5
)

// ejectIfFailing ejects m after failed attempts, if its failure rate stands out
// and at least half of the others have succeeded recently.
func (g *group) ejectIfFailing(m *member, now time.Time) {
	succeeded := func(o *member) bool { return now.Sub(o.lastOK) < recentSuccessWindow }
	if m.failures >= ejectRate && g.isOutlier(m, (*member).failureRate, now) && g.halfOfOthers(m, succeeded, now) {
		g.eject(m, "fails", now)
	}
}

// ejectIfSlow ejects m after slow attempts, the last of which started at began,
// if at least half of the others have run attempts in normal time since and have free
// slots. Otherwise all may be slow for a common reason, such as waiting for one another.
func (g *group) ejectIfSlow(m *member, began, now time.Time) {
	minRate := ejectRate
	if m.ejections > 0 && now.Sub(m.ejectedUntil) < g.cfg.EjectMax {
		minRate = repeatEjectRate
	}
	hasNormalAttempt := func(o *member) bool { return o.lastNormalStart.After(began) }
	if m.slow >= minRate && g.isOutlier(m, (*member).slowRate, now) && g.halfOfOthers(m, hasNormalAttempt, now) && !g.othersBusy(m, now) {
		g.eject(m, "is slow", now)
	}
}

// isOutlier reports whether m's rate is more than outlierFactor times the mean rate
// of the other usable members.
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

// halfOfOthers reports whether matches holds for at least half of the other usable
// members, and for at least one.
func (g *group) halfOfOthers(m *member, matches func(*member) bool, now time.Time) bool {
	count, n := 0, 0
	for _, o := range g.subset {
		if o == m || !o.usable(now) {
			continue
		}
		n++
		if matches(o) {
			count++
		}
	}
	return count > 0 && 2*count >= n
}

// othersBusy reports whether the others have too few free slots to take over
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

// eject stops sending work to m for a while, unless too many members are ejected
// already. An ejection within EjectMax of the end of the last one lasts twice as
// long, up to EjectMax.
func (g *group) eject(m *member, reason string, now time.Time) {
	const maxDoublings = 16 // keeps the shift from overflowing
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
	m.ejectedUntil = now.Add(min(g.cfg.EjectMin<<min(m.ejections-1, maxDoublings), g.cfg.EjectMax))
	m.ejectReason = reason
	m.failures = 0
	m.slow = 0
	m.probation = true
	m.latency = initialLatencyFactor * g.latency
	g.ejected = append(g.ejected, m.watches...)
	m.watches = nil
}

// reinstate ends ejections, the longest first, while more than the allowed fraction
// of the live upstreams is ejected. That happens when upstreams die or leave.
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
