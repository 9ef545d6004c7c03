package hedge

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSlices is the number of slices of a window: observations expire a slice at a time.
	windowSlices = 4
	// ratioUnits is the resolution of a ratio in the histograms, and maxRatio the largest that they distinguish.
	ratioUnits = 1000
	maxRatio   = 1000
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 1
	// tableTTL is how long a table of the distribution is used.
	tableTTL = time.Second
	// sampleInterval is the number of hedges that are due for each one that is left out.
	sampleInterval = 32
	// highQuantile is the quantile of the ratio that a hedge reserves work for.
	highQuantile = 0.99
)

// kind is the state of one kind of request.
type kind struct {
	share           float64
	minObservations int
	sliceLength     time.Duration
	budget          *workBudget

	mu       sync.Mutex
	model    model
	ratios   *hdrhistogram.WindowedHistogram
	sliceEnd time.Time
	// meanWork is the moving mean of the whole time of a request, and meanTime of the time to its response, in seconds.
	meanWork float64
	meanTime float64
	table    *table
	expiry   time.Time
	due      int
}

func newKind(cfg Config, b *workBudget) *kind {
	return &kind{
		share:           cfg.ExtraWork,
		minObservations: cfg.MinObservations,
		sliceLength:     cfg.Window / windowSlices,
		budget:          b,
		ratios:          hdrhistogram.NewWindowed(windowSlices, 1, maxRatio*ratioUnits, significantDigits),
		sliceEnd:        time.Now().Add(cfg.Window / windowSlices),
	}
}

// expected returns the expected time in seconds of a request with a prompt of some tokens, at an upstream without a
// queue and with its usual pace. It reports false while there are too few observations.
func (k *kind) expected(tokens int) (float64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.model.predict(float64(tokens)), k.model.n >= k.minObservations
}

// observe records the time in seconds to the response of a first attempt.
func (k *kind) observe(a Attempt, seconds float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	usual := seconds / a.factor
	k.model.add(a.tokens, usual, k.model.n >= k.minObservations)
	mean(&k.meanTime, seconds)
	if a.base > 0 {
		k.record(usual / a.base)
	}
}

// observeAtLeast records that a first attempt would have taken longer than some seconds. Of the ratios that were
// recorded beyond that one, a random one is recorded, since the lower bound alone would make slow answers look rarer
// the more of them are hedged.
func (k *kind) observeAtLeast(a Attempt, seconds float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a.base <= 0 {
		return
	}
	ratio := seconds / (a.base * a.factor)
	k.record(k.currentTable().beyond(ratio, rand.Float64()))
}

// worked records the whole time of a request in seconds.
func (k *kind) worked(seconds float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	mean(&k.meanWork, seconds)
}

// mean moves a mean towards a new value.
func mean(m *float64, v float64) {
	if *m == 0 {
		*m = v
		return
	}
	*m += modelWeight * (v - *m)
}

func (k *kind) record(ratio float64) {
	k.advance()
	// RecordValue fails only for values out of range, which this one never is.
	_ = k.ratios.Current.RecordValue(int64(math.Round(min(max(ratio*ratioUnits, 1), maxRatio*ratioUnits))))
}

// advance expires the slices that are older than the window.
func (k *kind) advance() {
	now := time.Now()
	for range windowSlices {
		if now.Before(k.sliceEnd) {
			return
		}
		k.ratios.Rotate()
		k.sliceEnd = k.sliceEnd.Add(k.sliceLength)
	}
	if k.sliceEnd.Before(now) {
		k.sliceEnd = now.Add(k.sliceLength)
	}
}

// currentTable returns the table of the distribution of ratios, which is at most tableTTL old.
func (k *kind) currentTable() *table {
	now := time.Now()
	if k.table != nil && now.Before(k.expiry) {
		return k.table
	}
	k.advance()
	workPerTime := 1.0
	if k.meanTime > 0 && k.meanWork > 0 {
		workPerTime = k.meanWork / k.meanTime
	}
	k.table = newTable(k.ratios.Merge().Distribution(), k.share*workPerTime)
	k.expiry = now.Add(tableTTL)
	return k.table
}

// trigger returns the ratio from which on a hedge is worth its work. scale is the expected time of the second attempt
// divided by that of the first. It reports false if there is none.
func (k *kind) trigger(scale float64) (float64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.currentTable()
	if t.total < float64(k.minObservations) {
		return 0, false
	}
	return t.trigger(scale)
}

// prospect returns what a hedge of an attempt with some ratio so far promises.
func (k *kind) prospect(ratio, scale float64) (prospect, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.currentTable().prospect(ratio, scale)
}

// highRatio returns the ratio that nearly all requests stay within.
func (k *kind) highRatio() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.currentTable().quantile(highQuantile)
}

// takeSample reports whether a hedge that is due is left out.
func (k *kind) takeSample() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.due++
	return k.due%sampleInterval == 0
}
