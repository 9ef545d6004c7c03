package upstream

import (
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// maxDraws is the number of random draws before the subset is searched in
	// order.
	maxDraws = 3
	// meanLoadTTL is how long a computed mean load is cached.
	meanLoadTTL = 5 * time.Millisecond
)

type cachedMean struct {
	load   float64
	expiry time.Time
}

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
	// of requests. It is zero or at most Request.MaxDelay.
	Delay time.Duration
	// At is when the attempt's turn is: Delay after the choice.
	At     time.Time
	group  *group
	member *member
	start  attemptStart
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

// pickByAffinity returns the member that the affinity hashes to (weighted rendezvous
// hashing) among those whose load is within the bound. Members that are faster for good attract more. It skips members
// that are on probation or stalled.
func (g *group) pickByAffinity(r *Request, now time.Time) *member {
	bound := g.cfg.AffinityBound * (g.meanLoad(now) + 1)
	maxWeight := r.maxWeight() * g.maxSpeedWeight
	var best *member
	var rank float64
	for i, hash := range g.hashes {
		u := uniform(mix(hash ^ r.Affinity))
		if best != nil && maxRank(u, maxWeight) <= rank {
			continue
		}
		m := g.subset[i]
		if !g.eligible(m, r, now) {
			continue
		}
		h := weightedRank(u, r.weight(m.host.DataCentre)*m.speed.weight())
		if best != nil && h <= rank {
			continue
		}
		if g.load(m, now) <= min(bound, float64(m.slots(r.Pool.Concurrency)-1)) && !m.probation && !g.stalled(m, r, now) {
			best, rank = m, h
		}
	}
	return best
}

func (r *Request) weight(dataCentre string) float64 {
	if w, ok := r.DataCentreWeights[dataCentre]; ok {
		return w
	}
	return 1
}

// maxWeight returns the highest weight that a data centre may have.
func (r *Request) maxWeight() float64 {
	highest := 1.0
	for _, w := range r.DataCentreWeights {
		highest = max(highest, w)
	}
	return highest
}

// uniform turns a hash into a number above 0, and 1 at most.
func uniform(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// weightedRank turns a uniform number into a rank, so that the member with the highest rank is
// chosen in proportion to its weight. Without weights it keeps the order of the numbers.
func weightedRank(uniform, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	return math.Log(uniform) / weight
}

// maxRank returns an upper bound of weightedRank for all weights up to maxWeight, without a logarithm: log(x)
// is at most x-1. High ranks, which decide, are close to it.
func maxRank(uniform, maxWeight float64) float64 {
	return (uniform - 1) / maxWeight
}

// meanLoad returns the mean load of the usable members, cached for meanLoadTTL.
func (g *group) meanLoad(now time.Time) float64 {
	if now.Before(g.mean.expiry) {
		return g.mean.load
	}
	sum, n := 0.0, 0
	for _, m := range g.subset {
		if m.usable(now) {
			sum += g.load(m, now)
			n++
		}
	}
	g.mean = cachedMean{
		load:   sum / float64(max(n, 1)),
		expiry: now.Add(meanLoadTTL),
	}
	return g.mean.load
}

func (g *group) eligible(m *member, r *Request, now time.Time) bool {
	return m.usable(now) && m.pacer.Ready(now) && r.allows(m) && (!r.Spare || g.hasSpare(m, r, now))
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
		if m.state(now) == Leaving || now.Before(m.pausedUntil) || !m.pacer.Ready(now) || !r.allows(m) {
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
// for the rate to which they limit requests, and how long that takes. It returns nil if it takes
// longer than the request may wait.
func (g *group) chooseLater(r *Request, now time.Time) (*member, time.Duration) {
	var best *member
	var least time.Duration
	for _, m := range g.subset {
		wait, ok := m.pacer.Wait(now)
		if ok && m.usable(now) && wait <= r.MaxDelay && r.allows(m) && (best == nil || wait < least) {
			best, least = m, wait
		}
	}
	return best, least
}

// stalled reports whether the attempts that wait on m have run for much longer than
// usual. It detects a slow upstream before any of them ends.
func (g *group) stalled(m *member, r *Request, now time.Time) bool {
	const minWaiting = 2
	factor := slowFactor
	if m.waiting >= minWaiting {
		factor = stalledFactor
	}
	return g.latency > 0 && float64(m.meanAge(g.epoch, now)) > factor*g.latency*g.loadFactor(m, r, now)
}

func (g *group) loadFactor(m *member, r *Request, now time.Time) float64 {
	work := float64(m.inFlight) + m.otherWork(g.cfg.LoadHalfLife, now) + 1
	return max(work/float64(m.slots(r.Pool.Concurrency)), 1)
}

// load returns the work on m, scaled up while m ramps up after an ejection.
func (g *group) load(m *member, now time.Time) float64 {
	work := float64(m.inFlight) + m.otherWork(g.cfg.LoadHalfLife, now)
	return work / m.rampUpShare(g.cfg.RampUpTime, now)
}

// score returns m's load relative to its slots, scaled by its relative speed, its
// failures and its distance. Lower is better.
func (g *group) score(m *member, r *Request, now time.Time) float64 {
	share := m.rampUpShare(g.cfg.RampUpTime, now)
	work := float64(m.inFlight) + m.otherWork(g.cfg.LoadHalfLife, now)
	score := (work + 1) / (share * float64(m.slots(r.Pool.Concurrency)))
	score *= m.slowness(g.latency, now)
	if g.stalled(m, r, now) {
		score *= maxSlowness
	}
	if m.host.DataCentre != g.cfg.DataCentre {
		score *= g.cfg.RemotePenalty
	}
	return score
}

// noUpstreamError reports that no member can be chosen, and when the next probe or
// the end of an ejection is due.
func (g *group) noUpstreamError(r *Request, now time.Time) *NoUpstreamError {
	e := &NoUpstreamError{
		Pool:   r.Pool.Name,
		Reason: "no upstream of service " + g.service + " takes work",
	}
	limited := func(m *member) bool { return r.wantsVersion(m) && m.usable(now) && m.pacer.Limit().Limited }
	switch {
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
			at = now.Add(m.pacer.RetryAfter(g.rng, now))
		}
		if wait := at.Sub(now); wait > 0 && (e.RetryAfter == 0 || wait < e.RetryAfter) {
			e.RetryAfter = wait
		}
	}
	return e
}
