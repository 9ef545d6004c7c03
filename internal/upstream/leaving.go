package upstream

import "time"

// LeavingUpstream is an upstream that is marked as leaving while the host list says that it
// is live.
type LeavingUpstream struct {
	Addr string
	// MarkedAt is when it was marked.
	MarkedAt time.Time
}

// Leaving returns the upstreams that are marked as leaving while the host list says that they
// are live. A process that restarts at the same address between two reads of the host list
// remains marked, since the list never shows it as leaving or gone.
func (s *Set) Leaving() []LeavingUpstream {
	now := time.Now()
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []LeavingUpstream
	for _, g := range s.groups {
		list = append(list, g.leaving(now)...)
	}
	return list
}

func (g *group) leaving(now time.Time) []LeavingUpstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []LeavingUpstream
	for _, m := range g.order {
		if m.host.State == Live && m.state(now) == Leaving {
			list = append(list, LeavingUpstream{
				Addr:     m.host.Addr,
				MarkedAt: g.markedAt(m),
			})
		}
	}
	return list
}

// markedAt returns when m was marked as leaving.
func (g *group) markedAt(m *member) time.Time {
	return m.override.until.Add(-g.cfg.LeavingTTL)
}

// ObserveLoad takes the load that an upstream reported without an attempt. A report that was
// sampled after the upstream was marked as leaving, and says that it is not, clears the mark;
// ObserveLoad then returns true.
func (s *Set) ObserveLoad(addr string, l Load) bool {
	now := time.Now()
	s.mu.RLock()
	defer s.mu.RUnlock()
	cleared := false
	for _, g := range s.groups {
		cleared = g.clearLeaving(addr, l, now) || cleared
	}
	return cleared
}

func (g *group) clearLeaving(addr string, l Load, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.memberAt(addr)
	if m == nil || m.state(now) != Leaving || m.host.State != Live {
		return false
	}
	if l.Leaving || !now.Add(-l.Age).After(g.markedAt(m)) {
		return false
	}
	m.override = stateOverride{}
	m.observeLoad(&l, now)
	g.rebuildSubset(now)
	return true
}
