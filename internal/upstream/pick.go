package upstream

import (
	"time"

	"sequoiafork/internal/coldstart"
)

// maxDraws is the number of random draws before the subset is searched in
// order.
const maxDraws = 3

// Choice is the upstream chosen for one attempt.
type Choice struct {
	Addr        string
	Incarnation string
	DataCentre  string
	// Version is the version of the upstream's software.
	Version string
	// InFlight is the number of this daemon's attempts on the upstream,
	// including this one.
	InFlight int
	// Delay is how long the attempt has to wait for its turn, because the upstream limits the rate
	// of requests or is cold. An attempt that has waited asks BeginTurn. It is zero or at most Request.MaxDelay.
	Delay time.Duration
	// At is when the attempt's turn is: Delay after the choice.
	At     time.Time
	group  *group
	member *member
	start  attemptStart
	// turn is the turn at an upstream that is cold.
	turn coldstart.Turn
}

// attemptStart is the state recorded when an attempt starts.
type attemptStart struct {
	at time.Time
	// loadFactor is the work on the upstream divided by its slots, at least one.
	// It estimates by how much queueing lengthens the attempt.
	loadFactor float64
}

// Pick chooses the upstream for one attempt and counts it as in flight until
// Done is called on the choice. It returns a *NoUpstreamError when no
// upstream can take the request.
func (s *Set) Pick(r Request) (Choice, error) {
	g := s.group(r.Pool.Service)
	if g == nil {
		return Choice{}, &NoUpstreamError{
			Pool:   r.Pool.Name,
			Reason: "the host list has no upstream of service " + r.Pool.Service,
		}
	}
	return g.pick(&r, time.Now())
}

// PreferredDataCentre returns the data centre of the upstream that Pick would most likely choose
// for the request's affinity, or "" if there is no preference. It counts nothing as in flight.
func (s *Set) PreferredDataCentre(r Request) string {
	g := s.group(r.Pool.Service)
	if g == nil || r.Affinity == 0 {
		return ""
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.pickByAffinity(&r, now); m != nil {
		return m.host.DataCentre
	}
	return ""
}

func (g *group) pick(r *Request, now time.Time) (Choice, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.After(g.rebuildAt) {
		g.rebuildSubset(now)
	}
	m := g.choose(r, now)
	if m == nil && !r.Spare {
		m = g.chooseOfVersion(r, now)
	}
	delay := time.Duration(0)
	if m == nil && !r.Spare {
		m, delay = g.chooseLater(r, now)
	}
	if m == nil {
		return Choice{}, g.noUpstreamError(r, now)
	}
	if m.state(now) == Dead {
		m.probing = true
	}
	st := attemptStart{
		at:         now.Add(delay),
		loadFactor: g.loadFactor(m, r, now),
	}
	if m.pacer.Limit().Limited {
		m.pacer.Take(now)
		m.sentUnderLimit++
		limitedRequestsTotal.Inc()
	}
	turn := m.takeColdTurn(st.at, now)
	m.inFlight++
	m.waiting++
	m.startSum += st.at.Sub(g.epoch)
	return Choice{
		Addr:        m.host.Addr,
		Incarnation: m.host.Incarnation,
		DataCentre:  m.host.DataCentre,
		Version:     m.host.Version,
		InFlight:    m.inFlight,
		Delay:       delay,
		At:          st.at,
		group:       g,
		member:      m,
		start:       st,
		turn:        turn,
	}, nil
}

func (g *group) choose(r *Request, now time.Time) *member {
	if len(g.subset) == 0 {
		return nil
	}
	switch g.cfg.Policy.(type) {
	case RoundRobin:
		g.lastIndex = (g.lastIndex + 1) % len(g.subset)
		return g.firstEligible(g.lastIndex, r, nil, now)
	case Random:
		return g.draw(r, nil, now)
	case LeastInFlight:
		return g.leastInFlight(r, now)
	}
	if r.Affinity != 0 {
		if m := g.pickByAffinity(r, now); m != nil {
			return m
		}
	}
	return g.twoChoices(r, now)
}

func (g *group) twoChoices(r *Request, now time.Time) *member {
	a := g.draw(r, nil, now)
	if a == nil {
		return nil
	}
	b := g.draw(r, a, now)
	if b == nil || g.score(a, r, now) <= g.score(b, r, now) {
		return a
	}
	return b
}

// draw returns a random eligible member other than excluded, or nil.
func (g *group) draw(r *Request, excluded *member, now time.Time) *member {
	for range maxDraws {
		m := g.subset[g.rng.IntN(len(g.subset))]
		if m != excluded && g.eligible(m, r, now) {
			return m
		}
	}
	return g.firstEligible(g.rng.IntN(len(g.subset)), r, excluded, now)
}

// firstEligible returns the first eligible member other than excluded, searching the
// subset cyclically from index start.
func (g *group) firstEligible(start int, r *Request, excluded *member, now time.Time) *member {
	for i := range g.subset {
		m := g.subset[(start+i)%len(g.subset)]
		if m != excluded && g.eligible(m, r, now) {
			return m
		}
	}
	return nil
}

func (g *group) leastInFlight(r *Request, now time.Time) *member {
	var best *member
	start := g.rng.IntN(len(g.subset))
	for i := range g.subset {
		m := g.subset[(start+i)%len(g.subset)]
		if g.eligible(m, r, now) && (best == nil || m.inFlight < best.inFlight) {
			best = m
		}
	}
	return best
}
