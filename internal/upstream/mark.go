package upstream

import "time"

// successPrecedence is how long an own success outweighs a peer's word of a death.
const successPrecedence = time.Second

// overrideAddr applies mk to the member at addr and reports whether there is one.
func (g *group) overrideAddr(addr string, mk stateOverride, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.memberAt(addr)
	if m == nil {
		return false
	}
	if mk.state == Suspect {
		g.eject(m, mk.reason, now)
		return true
	}
	if mk.state == Dead && now.Sub(m.lastOK) < successPrecedence && !m.lastOK.IsZero() {
		return true
	}
	g.setOverride(m, mk, now)
	g.refill(now)
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

// setOverride changes m's mark. A leaving upstream stays so: it may refuse
// connections next, but will not take work again.
func (g *group) setOverride(m *member, mk stateOverride, now time.Time) {
	current := m.state(now)
	overridden := now.Before(m.override.until)
	if current == Leaving && overridden {
		return
	}
	switch mk.state {
	case Live:
		m.override = stateOverride{}
		m.backoff = 0
	case Dead:
		m.override = mk
		if current == Dead && overridden && now.Before(m.probeAt) {
			return // Seen again before the next probe; the backoff stays.
		}
		m.backoff = min(max(2*m.backoff, g.cfg.ProbeMin), g.cfg.ProbeMax)
		m.probeAt = now.Add(m.backoff)
	case Leaving:
		m.override = mk
	}
}

func (g *group) setDaemons(n int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.daemons = n
	g.refill(now)
}
