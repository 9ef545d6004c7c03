// Package stagetime records recent durations by key, such as those of pipeline stages or
// the time to the first event on a route, and divides deadlines among stages by them.
package stagetime

import (
	"cmp"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	defaultWindow          = time.Minute
	defaultMinObservations = 20
	// windowSlices is the number of slices of a window: observations expire a slice at a
	// time.
	windowSlices = 4
	// maxMicroseconds is the longest duration that the histograms distinguish.
	maxMicroseconds = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 1
)

// Config configures a Tracker.
type Config struct {
	// Window is how long an observation counts. Zero means a minute.
	Window time.Duration
	// MinObservations is the number of observations below which a key has no
	// quantiles. Zero means 20.
	MinObservations int
}

func (c Config) withDefaults() Config {
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.MinObservations = cmp.Or(c.MinObservations, defaultMinObservations)
	return c
}

// Tracker keeps a sliding histogram of durations for each key. It is safe for concurrent
// use; each key has its own lock.
type Tracker struct {
	cfg  Config
	keys sync.Map // string to *series
}

// New returns a tracker without observations.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg: cfg.withDefaults(),
	}
}

// Observe records the duration d for a key.
func (t *Tracker) Observe(key string, d time.Duration) {
	t.series(key).observe(d, time.Now())
}

func (t *Tracker) series(key string) *series {
	if v, ok := t.keys.Load(key); ok {
		return v.(*series)
	}
	v, _ := t.keys.LoadOrStore(key, newSeries(t.cfg))
	return v.(*series)
}

// series is the sliding histogram of one key: slices that expire in turn, and their sum.
type series struct {
	mu              sync.Mutex
	minObservations int64
	sliceLength     time.Duration
	slices          [windowSlices]*hdrhistogram.Histogram
	sum             *hdrhistogram.Histogram
	current         int
	sliceEnd        time.Time
	quantiles       [cacheSize]cachedQuantile
	nextSlot        int
}

func newSeries(cfg Config) *series {
	s := &series{
		minObservations: int64(cfg.MinObservations),
		sliceLength:     cfg.Window / windowSlices,
		sum:             hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
	for i := range s.slices {
		s.slices[i] = hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	return s
}

func (s *series) observe(d time.Duration, now time.Time) {
	us := min(max(d.Microseconds(), 1), maxMicroseconds)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	// RecordValue fails only for values out of range, which us never is.
	_ = s.slices[s.current].RecordValue(us)
	_ = s.sum.RecordValue(us)
}

// advance expires the slices that are older than the window.
func (s *series) advance(now time.Time) {
	if now.Before(s.sliceEnd) {
		return
	}
	steps := windowSlices
	if !s.sliceEnd.IsZero() {
		steps = min(windowSlices, int(now.Sub(s.sliceEnd)/s.sliceLength)+1)
	}
	for range steps {
		s.current = (s.current + 1) % windowSlices
		s.slices[s.current].Reset()
	}
	s.sliceEnd = now.Add(s.sliceLength)
	s.sum.Reset()
	for _, h := range s.slices {
		s.sum.Merge(h)
	}
	s.quantiles = [cacheSize]cachedQuantile{}
}
