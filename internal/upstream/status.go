package upstream

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sequoiafork/internal/table"
)

const (
	// capacityTTL is how long a computed capacity is cached.
	capacityTTL = 10 * time.Millisecond
	// maxShareFactor bounds this daemon's share of an upstream, as a multiple of
	// an equal share, because the reported work of the other daemons is stale.
	maxShareFactor = 2
)

type cachedCapacity struct {
	concurrency int
	slots       int
	expiry      time.Time
}

// Capacity returns the number of attempts that the usable upstreams of the
// pool can run concurrently for this daemon: their concurrency less the work
// of the other daemons, but at least this daemon's equal share.
func (s *Set) Capacity(p *table.Pool) int {
	g := s.group(p.Service)
	if g == nil {
		return 0
	}
	return g.daemonCapacity(p.Concurrency, time.Now())
}

func (g *group) daemonCapacity(concurrency int, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := &g.capacity; c.concurrency == concurrency && now.Before(c.expiry) {
		return c.slots
	}
	sum := 0
	for _, m := range g.subset {
		if m.usable(now) {
			sum += g.daemonSlots(m, concurrency, now)
		}
	}
	g.capacity = cachedCapacity{
		concurrency: concurrency,
		slots:       sum,
		expiry:      now.Add(capacityTTL),
	}
	return sum
}

// daemonSlots returns the number of attempts that this daemon may run on m concurrently.
func (g *group) daemonSlots(m *member, concurrency int, now time.Time) int {
	if concurrency <= 0 {
		concurrency = m.slots(concurrency)
	}
	equalShare := (concurrency + g.daemons - 1) / g.daemons
	remaining := concurrency - int(math.Round(m.otherWork(g.cfg.LoadHalfLife, now)))
	return max(equalShare, min(remaining, maxShareFactor*equalShare))
}

// Upstreams returns the status of every upstream, ordered by service and
// address.
func (s *Set) Upstreams() []Status {
	now := time.Now()
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []Status
	for _, g := range s.groups {
		list = g.appendStatus(list, now)
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Addr, b.Addr))
	})
	return list
}

func (g *group) appendStatus(list []Status, now time.Time) []Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		st := Status{
			Addr:       m.host.Addr,
			Service:    m.host.Service,
			DataCentre: m.host.DataCentre,
			State:      m.state(now),
			InFlight:   m.inFlight,
		}
		switch {
		case now.Before(m.override.until):
			st.Reason = m.override.reason
		case now.Before(m.ejectedUntil):
			st.Reason = "ejected: " + m.ejectReason
		}
		list = append(list, st)
	}
	return list
}
