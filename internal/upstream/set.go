package upstream

import (
	"maps"
	"sync"
	"time"
)

// Set holds the upstreams of all services. It is safe for concurrent use; each
// service has its own mutex.
type Set struct {
	cfg Config

	mu      sync.RWMutex
	groups  map[string]*group
	daemons int
	// pending holds the overrides of upstreams that are not on the host list yet,
	// by address.
	pending map[string]stateOverride
}

// New returns a set without upstreams.
func New(cfg Config) *Set {
	return &Set{
		cfg:     cfg.withDefaults(),
		groups:  make(map[string]*group),
		daemons: 1,
		pending: make(map[string]stateOverride),
	}
}

// Replace replaces the host list.
func (s *Set) Replace(hosts []Host) {
	now := time.Now()
	byService := make(map[string][]Host)
	for _, h := range hosts {
		byService[h.Service] = append(byService[h.Service], h)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.pending, func(_ string, ov stateOverride) bool { return now.After(ov.until) })
	for service := range byService {
		if _, ok := s.groups[service]; !ok {
			s.groups[service] = newGroup(&s.cfg, service, s.daemons)
		}
	}
	for service, g := range s.groups {
		g.replace(byService[service], s.pending, now)
	}
	for _, h := range hosts {
		delete(s.pending, h.Addr)
	}
}

// OverrideState records the state of an upstream as observed by this daemon or a peer.
// It takes precedence over the host list until it expires, until the host list changes
// the upstream to Live, or, for Dead, until an attempt succeeds. Live clears Dead but not
// Leaving. Dead is ignored for an upstream at which an attempt of this daemon has
// succeeded within successPrecedence. Suspect ejects it.
func (s *Set) OverrideState(addr string, st State, reason string) {
	now := time.Now()
	ov := stateOverride{
		state:  st,
		reason: reason,
		until:  now.Add(s.cfg.ttl(st)),
	}
	for _, g := range s.overrideAddr(addr, ov, now) {
		g.notifyEjected()
	}
}

// overrideAddr applies ov to the members at addr and returns their groups. If there are
// none, it keeps the override of an upstream that takes no work.
func (s *Set) overrideAddr(addr string, ov stateOverride, now time.Time) []*group {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*group
	for _, g := range s.groups {
		if g.overrideAddr(addr, ov, now) {
			found = append(found, g)
		}
	}
	if len(found) == 0 && (ov.state == Leaving || ov.state == Dead) {
		s.pending[addr] = ov
	}
	return found
}

// LiveByDataCentre returns the number of live upstreams of a service in each data centre.
func (s *Set) LiveByDataCentre(service string) map[string]int {
	counts := make(map[string]int)
	g := s.group(service)
	if g == nil {
		return counts
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.state(now) == Live {
			counts[m.host.DataCentre]++
		}
	}
	return counts
}

// HasVersion reports whether a service has an upstream of a version that is not leaving.
func (s *Set) HasVersion(service, version string) bool {
	g := s.group(service)
	if g == nil {
		return false
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.order {
		if m.host.Version == version && m.state(now) != Leaving {
			return true
		}
	}
	return false
}

// SetDaemons sets the number of daemons that share the upstreams. It determines the
// size of subsets and this daemon's share of the upstreams' concurrency.
func (s *Set) SetDaemons(n int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = max(n, 1)
	for _, g := range s.groups {
		g.setDaemons(s.daemons, now)
	}
}

func (c *Config) ttl(st State) time.Duration {
	if st == Leaving {
		return c.LeavingTTL
	}
	return c.DeadTTL
}

func (s *Set) group(service string) *group {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.groups[service]
}
