package upstream

import (
	"math"
	"time"
)

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
