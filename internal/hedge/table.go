package hedge

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minBeyond is the number of recorded ratios beyond a trigger that it takes, so that single answers determine none.
	minBeyond = 5
	// triggers are kept for scales that are powers of 1/scaleBase, up to maxScaleStep steps.
	scaleBase    = math.Sqrt2
	maxScaleStep = 8
)

// earlyTriggers are ratios at which a hedge may be worth its work although hardly any request ends so soon: the upstream
// of the first attempt is known to be loaded.
var earlyTriggers = []float64{0.1, 0.25, 0.5, 0.75}

// step is one step of a distribution: the weight of a ratio.
type step struct {
	ratio  float64
	weight float64
}

// table is the distribution of the ratio of measured to expected time at one moment.
type table struct {
	steps []step
	total float64
	// limit is the extra work that a request earns, in expected times.
	limit    float64
	triggers [maxScaleStep + 1]cachedTrigger
}

type cachedTrigger struct {
	known bool
	ratio float64
	ok    bool
}

// prospect is what a hedge promises, in expected times of the first attempt.
type prospect struct {
	// gain is the expected time by which the response comes sooner.
	gain float64
	// cost is the expected time for which both attempts run, and loser the expected whole time of the one that is
	// abandoned, of which a part is spent already.
	cost  float64
	loser float64
	// beyond is the recorded weight of the ratios beyond that of the attempt.
	beyond float64
}

func newTable(bars []hdrhistogram.Bar, limit float64) *table {
	t := &table{
		limit: limit,
	}
	for _, b := range bars {
		if b.Count == 0 {
			continue
		}
		t.steps = append(t.steps, step{
			ratio:  float64(b.From+b.To) / 2 / ratioUnits,
			weight: float64(b.Count),
		})
		t.total += float64(b.Count)
	}
	return t
}

// prospect returns what a hedge promises for an attempt that has taken ratio expected times, if the second one is
// expected to take scale expected times. It reports false if too few ratios were recorded beyond.
func (t *table) prospect(ratio, scale float64) (prospect, bool) {
	var p prospect
	// below and sum are the probability and the mean share of the times of the second attempt that are below the rest
	// of the first.
	below, sum := 0.0, 0.0
	next := 0
	for _, s := range t.steps {
		rest := s.ratio - ratio
		if rest <= 0 {
			continue
		}
		for next < len(t.steps) && scale*t.steps[next].ratio < rest {
			below += t.steps[next].weight / t.total
			sum += t.steps[next].weight / t.total * scale * t.steps[next].ratio
			next++
		}
		p.beyond += s.weight
		p.gain += s.weight * (rest*below - sum)
		both := rest*(1-below) + sum
		p.cost += s.weight * both
		p.loser += s.weight * (both + ratio*below)
	}
	if p.beyond < minBeyond {
		return p, false
	}
	p.gain /= p.beyond
	p.cost /= p.beyond
	p.loser /= p.beyond
	return p, true
}

// trigger returns the ratio at which hedges gain most, less what they cost. If the hedges of all requests would exceed
// the limit there, the gain counts in proportion, so that the limit is spent on the slowest requests rather than on the
// first ones. It reports false if no hedge gains more than it costs.
func (t *table) trigger(scale float64) (float64, bool) {
	n := scaleStep(scale)
	c := &t.triggers[n]
	if !c.known {
		c.ratio, c.ok = t.findTrigger(math.Pow(scaleBase, -float64(n)))
		c.known = true
	}
	return c.ratio, c.ok
}

// scaleStep returns the step of the triggers for a scale.
func scaleStep(scale float64) int {
	return int(min(max(math.Round(-math.Log(scale)/math.Log(scaleBase)), 0), maxScaleStep))
}

func (t *table) findTrigger(scale float64) (float64, bool) {
	candidates := slices.Clone(earlyTriggers)
	for _, s := range t.steps {
		candidates = append(candidates, s.ratio)
	}
	best, value := 0.0, 0.0
	for _, ratio := range candidates {
		p, ok := t.prospect(ratio, scale)
		if !ok {
			continue
		}
		share := p.beyond / t.total
		v := share * (p.gain - p.cost)
		if spent := share * p.loser; spent > t.limit {
			v *= t.limit / spent
		}
		if v > value {
			best, value = ratio, v
		}
	}
	return best, value > 0
}

// quantile returns the q-th quantile of the ratio, from 0 to 1.
func (t *table) quantile(q float64) float64 {
	sum := 0.0
	for _, s := range t.steps {
		sum += s.weight
		if sum >= q*t.total {
			return s.ratio
		}
	}
	return 1
}

// beyond returns the ratio at the fraction u, from 0 to 1, of those recorded beyond ratio, or ratio if there are none.
func (t *table) beyond(ratio, u float64) float64 {
	weight := 0.0
	for _, s := range t.steps {
		if s.ratio > ratio {
			weight += s.weight
		}
	}
	sum := 0.0
	for _, s := range t.steps {
		if s.ratio <= ratio {
			continue
		}
		sum += s.weight
		if sum >= u*weight {
			return s.ratio
		}
	}
	return ratio
}
