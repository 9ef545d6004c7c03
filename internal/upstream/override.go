package upstream

import "time"

// successPrecedence is how long a success of this daemon takes precedence over a
// report that the upstream is dead.
const successPrecedence = time.Second

// overrideAddr applies ov to the member at addr and reports whether there is one.
func (g *group) overrideAddr(addr string, ov stateOverride, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.memberAt(addr)
	if m == nil {
		return false
	}
	if ov.state == Suspect {
		g.eject(m, ov.reason, now)
		return true
	}
	if ov.state == Dead && now.Sub(m.lastOK) < successPrecedence && !m.lastOK.IsZero() {
		return true
	}
	g.setOverride(m, ov, now)
	g.rebuildSubset(now)
	return true
}

// memberAt returns the member at an address, or nil.
func (g *group) memberAt(addr string) *member {
	if m, ok := g.members[addr]; ok {
		return m
	}
	for _, m := range g.members {
		if m.host.Addr == addr {
			return m
		}
	}
	return nil
}

// setOverride changes m's state override. A leaving upstream stays leaving: it may
// refuse connections next, but will not take work again.
func (g *group) setOverride(m *member, ov stateOverride, now time.Time) {
	current := m.state(now)
	overridden := now.Before(m.override.until)
	if current == Leaving && overridden {
		return
	}
	switch ov.state {
	case Live:
		m.override = stateOverride{}
		m.backoff = 0
	case Dead:
		m.override = ov
		if current == Dead && overridden && now.Before(m.probeAt) {
			return // Reported again before the next probe; keep the backoff.
		}
		m.backoff = min(max(2*m.backoff, g.cfg.ProbeMin), g.cfg.ProbeMax)
		m.probeAt = now.Add(m.backoff)
	case Leaving:
		m.override = ov
	}
}

func (g *group) setDaemons(n int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.daemons = n
	g.rebuildSubset(now)
}
