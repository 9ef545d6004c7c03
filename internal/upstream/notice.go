package upstream

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/ratelimit"
)

// limitReportInterval is how often a limit that stays is reported to the other daemons.
const limitReportInterval = 10 * time.Second

// limitedRequestsTotal counts the attempts on upstreams that limit their rate.
var limitedRequestsTotal = metrics.GetOrCreateCounter("sequoiafork_upstream_limited_requests_total")

// Notice is what an upstream says of itself in a response.
type Notice struct {
	// Leaving reports that the upstream finishes what it has and takes no new work.
	Leaving bool
	// Pause is how long it wants no requests from this daemon.
	Pause time.Duration
	// RateLimited reports that the upstream limits the rate of requests from all daemons
	// together, to PerSecond.
	RateLimited bool
	PerSecond   float64
}

// Limit returns the limit of the rate that a response names which arrived now to a request that was
// sent at a time. A response without a limit ends it only if its request was sent after the limit
// was last named, since responses overtake each other.
func (n Notice) Limit(sent, now time.Time) ratelimit.Limit {
	l := ratelimit.Limit{
		Limited:   n.RateLimited,
		PerSecond: n.PerSecond,
		At:        now,
	}
	if !n.RateLimited {
		l.At = sent
	}
	return l
}

// Observe records what the upstream said of itself in the response to the attempt.
func (c Choice) Observe(n Notice) {
	if c.member == nil {
		return
	}
	c.group.observeNotice(c.member, c.start.at, n, time.Now())
}

// observeNotice records a notice in the response to an attempt that began at a time.
func (g *group) observeNotice(m *member, began time.Time, n Notice, now time.Time) {
	if n.Leaving && g.cfg.OnLeaving != nil {
		g.cfg.OnLeaving(g.hostOf(m))
	}
	if n.Pause > 0 {
		g.pause(m, n.Pause, now)
	}
	l := n.Limit(began, now)
	if g.updateLimit(m, l, now) && g.cfg.OnLimit != nil {
		g.cfg.OnLimit(g.hostOf(m), l)
	}
}

// hostOf returns the host of a member, which a new host list may replace.
func (g *group) hostOf(m *member) Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.host
}

// ObserveLimit records the limit of an upstream that another daemon observed.
func (s *Set) ObserveLimit(service, incarnation string, l ratelimit.Limit) {
	g := s.group(service)
	if g == nil {
		return
	}
	now := time.Now()
	if m := g.memberOf(incarnation); m != nil {
		g.updateLimit(m, l, now)
	}
}

// memberOf returns the member with an incarnation, or nil.
func (g *group) memberOf(incarnation string) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.host.Incarnation == incarnation {
			return m
		}
	}
	return nil
}

// updateLimit records the limit of a member unless a later observation is known. It reports whether
// the other daemons are to know it: because it is new, or was last reported limitReportInterval ago.
func (g *group) updateLimit(m *member, l ratelimit.Limit, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := m.pacer.Limit()
	if !before.Limited && !l.Limited {
		return false
	}
	rank, daemons := g.rank(m)
	changed := m.pacer.Observe(l, rank, daemons, now)
	if changed {
		g.logLimit(m)
	}
	if !changed && (m.pacer.Limit().At.Equal(before.At) || now.Sub(m.limitReportedAt) < limitReportInterval) {
		return false
	}
	m.limitReportedAt = now
	return true
}

// logLimit logs that the limit of a member has changed.
func (g *group) logLimit(m *member) {
	fields := []zap.Field{
		zap.String("upstream", m.host.Incarnation),
		zap.String("addr", m.host.Addr),
		zap.Int("sent_under_previous", m.sentUnderLimit),
	}
	m.sentUnderLimit = 0
	if !m.pacer.Limit().Limited {
		g.cfg.Logger.Info("upstream no longer limits its rate", fields...)
		return
	}
	g.cfg.Logger.Info("upstream limits its rate", append(fields,
		zap.Float64("per_second", m.pacer.Limit().PerSecond), zap.Float64("own_per_second", m.pacer.Rate()))...)
}

func (g *group) rank(m *member) (rank, daemons int) {
	var names []string
	if g.cfg.Daemons != nil {
		names = g.cfg.Daemons()
	}
	return ratelimit.Rank(g.cfg.Self, names, m.hash)
}

// refreshLimits adapts the parts of the limits to the daemons that there are now, and ends limits
// that are no longer named.
func (g *group) refreshLimits(now time.Time) {
	for _, m := range g.subset {
		if !m.pacer.Limit().Limited {
			continue
		}
		rank, daemons := g.rank(m)
		m.pacer.Expire(rank, now)
		m.pacer.Share(rank, daemons, now)
	}
}
