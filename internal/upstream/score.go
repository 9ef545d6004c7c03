package upstream

import "time"

// meanLoadTTL is how long a computed mean load is cached.
const meanLoadTTL = 5 * time.Millisecond

type cachedMean struct {
	load   float64
	expiry time.Time
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
