package upstream

import (
	"slices"
	"strconv"
	"time"
)

func (g *group) eligible(m *member, r *Request, now time.Time) bool {
	return m.usable(now) && m.hasTurn(now) && r.allows(m) && (!r.Spare || g.hasSpare(m, r, now))
}

// allows reports whether m has the version that r asks for and is not excluded.
func (r *Request) allows(m *member) bool {
	return r.wantsVersion(m) && !slices.Contains(r.Exclude, m.host.Addr)
}

// wantsVersion reports whether m has the version that r asks for, if it asks for one.
func (r *Request) wantsVersion(m *member) bool {
	return !r.PinVersion || m.host.Version == r.Version
}

// chooseOfVersion returns the best member for a request that only upstreams of one version can take, when there is no
// eligible one. It may be ejected, on probation or outside of the subset, or have refused a connection.
func (g *group) chooseOfVersion(r *Request, now time.Time) *member {
	if !r.PinVersion {
		return nil
	}
	var best *member
	for _, m := range g.order {
		if m.state(now) == Leaving || now.Before(m.pausedUntil) || !m.hasTurn(now) || !r.allows(m) {
			continue
		}
		if best == nil || m.betterLastResort(best, now) {
			best = m
		}
	}
	return best
}

// betterLastResort reports whether m is live and o is not or, if that is the same, has fewer attempts in flight.
func (m *member) betterLastResort(o *member, now time.Time) bool {
	live, otherLive := m.state(now) == Live, o.state(now) == Live
	if live != otherLive {
		return live
	}
	return m.inFlight < o.inFlight
}

// chooseLater returns the member that is the first to take a request when all that could are waiting
// for the rate to which they limit requests or are cold, and how long that takes. It returns nil if it takes
// longer than the request may wait.
func (g *group) chooseLater(r *Request, now time.Time) (*member, time.Duration) {
	var best *member
	var least time.Duration
	for _, m := range g.subset {
		wait, ok := m.wait(now)
		if ok && m.usable(now) && wait <= r.MaxDelay && r.allows(m) && (best == nil || wait < least) {
			best, least = m, wait
		}
	}
	return best, least
}

// noUpstreamError reports that no member can be chosen, and when the next probe or
// the end of an ejection is due.
func (g *group) noUpstreamError(r *Request, now time.Time) *NoUpstreamError {
	e := &NoUpstreamError{
		Pool:   r.Pool.Name,
		Reason: "no upstream of service " + g.service + " takes work",
	}
	limited := func(m *member) bool { return r.wantsVersion(m) && m.usable(now) && m.pacer.Limit().Limited }
	cold := func(m *member) bool { return r.wantsVersion(m) && m.usable(now) && m.cold(now) }
	switch {
	case slices.ContainsFunc(g.subset, cold):
		e.Reason = "the upstreams of service " + g.service + " that take work are cold"
	case slices.ContainsFunc(g.subset, limited):
		e.Reason = "the upstreams of service " + g.service + " that take work limit their rate"
	case r.PinVersion:
		e.Reason = "no upstream of service " + g.service + " with version " + strconv.Quote(r.Version) + " takes work"
	}
	for _, m := range g.subset {
		if !r.wantsVersion(m) {
			continue
		}
		at := m.ejectedUntil
		if m.pausedUntil.After(at) {
			at = m.pausedUntil
		}
		if m.state(now) == Dead {
			at = m.probeAt
		}
		if m.usable(now) {
			at = now.Add(m.retryAfter(g.rng, now))
		}
		if wait := at.Sub(now); wait > 0 && (e.RetryAfter == 0 || wait < e.RetryAfter) {
			e.RetryAfter = wait
		}
	}
	return e
}
