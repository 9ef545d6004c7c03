// Package stagetime keeps the recent times of pipeline stages and splits
// deadlines by them.
package stagetime

import (
	"cmp"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	defaultWindow  = time.Minute
	defaultMinimum = 20
	// slices is the number of parts that a window expires in.
	slices = 4
	// largest is the longest time that is told apart, in microseconds.
	largest = int64(time.Hour / time.Microsecond)
	// digits is the precision of the histograms in significant figures.
	digits = 1
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
	c.MinObservations = cmp.Or(c.MinObservations, defaultMinimum)
	return c
}

// Tracker keeps a sliding histogram of times for each key. It is safe for
// concurrent use; each key has its own lock.
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

// Observe records that the stage with the given key took d.
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

// series is the sliding histogram of one key: slices that expire in turn, and
// their sum.
type series struct {
	mu      sync.Mutex
	minimum int64
	slice   time.Duration
	parts   [slices]*hdrhistogram.Histogram
	sum     *hdrhistogram.Histogram
	current int
	ends    time.Time
	cache   [cacheSize]cachedQuantile
	next    int
}

func newSeries(cfg Config) *series {
	s := &series{
		minimum: int64(cfg.MinObservations),
		slice:   cfg.Window / slices,
		sum:     hdrhistogram.New(1, largest, digits),
	}
	for i := range s.parts {
		s.parts[i] = hdrhistogram.New(1, largest, digits)
	}
	return s
}

func (s *series) observe(d time.Duration, now time.Time) {
	us := min(max(d.Microseconds(), 1), largest)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	// RecordValue fails only for values out of range, which us never is.
	_ = s.parts[s.current].RecordValue(us)
	_ = s.sum.RecordValue(us)
}

// advance expires the slices that are older than the window.
func (s *series) advance(now time.Time) {
	if now.Before(s.ends) {
		return
	}
	steps := slices
	if !s.ends.IsZero() {
		steps = min(slices, int(now.Sub(s.ends)/s.slice)+1)
	}
	for range steps {
		s.current = (s.current + 1) % slices
		s.parts[s.current].Reset()
	}
	s.ends = now.Add(s.slice)
	s.sum.Reset()
	for _, p := range s.parts {
		s.sum.Merge(p)
	}
	s.cache = [cacheSize]cachedQuantile{}
}
