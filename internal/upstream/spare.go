package upstream

import (
	"math"
	"strings"
	"time"

	"sequoiafork/internal/table"
)

// Spare is the spare capacity of the upstreams of a service that take new work.
type Spare struct {
	// Slots is the number of attempts that they run at once, and Free how many more they can take now.
	Slots int
	Free  int
	// Queued is the number of attempts that wait at them for a slot, as far as this daemon knows.
	Queued int
}

// Spare returns the spare capacity of a pool. Reports of upstreams that are older than Config.LoadHalfLife count by
// their age, as for Pick, and reported queues not at all.
func (s *Set) Spare(p *table.Pool) Spare {
	var sum Spare
	g := s.group(p.Service)
	if g == nil {
		return sum
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.subset {
		if m.state(now) != Live || !m.usable(now) {
			continue
		}
		slots := m.slots(p.Concurrency)
		sum.Slots += slots
		sum.Free += max(slots-g.work(m, now), 0)
		sum.Queued += g.queued(m, p.Concurrency, now)
	}
	return sum
}

// work returns the number of attempts on m, of this daemon and the others.
func (g *group) work(m *member, now time.Time) int {
	return m.inFlight + int(math.Round(m.otherWork(g.cfg.LoadHalfLife, now)))
}

// queued returns the number of attempts that wait at m: those that it has reported lately, or those beyond its slots.
func (g *group) queued(m *member, concurrency int, now time.Time) int {
	beyond := max(g.work(m, now)-m.slots(concurrency), 0)
	if now.Sub(m.reportedAt) > g.cfg.LoadHalfLife {
		return beyond
	}
	return max(beyond, m.reportedQueue)
}

// hasSpare reports whether m may take an attempt that is not necessary: it takes work as usual, is not cold and has a free slot, and
// no excluded address is on the same host.
func (g *group) hasSpare(m *member, r *Request, now time.Time) bool {
	if m.state(now) != Live || m.probation || m.cold(now) || m.rampUpShare(g.cfg.RampUpTime, now) < 1 {
		return false
	}
	if g.work(m, now) >= m.slots(r.Pool.Concurrency) || g.queued(m, r.Pool.Concurrency, now) > 0 {
		return false
	}
	for _, addr := range r.Exclude {
		if hostOf(addr) == hostOf(m.host.Addr) {
			return false
		}
	}
	return true
}

// hostOf returns an address without its port. A loopback address keeps its port: where upstreams listen on one, all run
// on the same host, and none of them could take an attempt.
func hostOf(addr string) string {
	if strings.HasPrefix(addr, "127.") || strings.HasPrefix(addr, "[::1]") {
		return addr
	}
	if i := strings.LastIndexByte(addr, ':'); i >= 0 {
		return addr[:i]
	}
	return addr
}

// ReportedLoad is what the chosen upstream last reported of itself.
type ReportedLoad struct {
	// Pace is how long work takes there, as a multiple of the usual time. Zero means that it is unknown.
	Pace float64
	// Queued is the number of attempts that wait there, and Slots the number that run at once.
	Queued int
	Slots  int
}

// ReportedLoad returns the load of the chosen upstream. A pace or a queue that was reported longer than
// Config.LoadHalfLife ago is unknown.
func (c Choice) ReportedLoad(p *table.Pool) ReportedLoad {
	if c.member == nil {
		return ReportedLoad{}
	}
	g, m := c.group, c.member
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := ReportedLoad{
		Queued: g.queued(m, p.Concurrency, now),
		Slots:  m.slots(p.Concurrency),
	}
	if now.Sub(m.reportedAt) <= g.cfg.LoadHalfLife {
		l.Pace = m.reportedPace
	}
	return l
}
