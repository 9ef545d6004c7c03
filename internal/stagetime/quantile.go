package stagetime

import "time"

const (
	// cacheSize is the number of quantiles that are cached for each key.
	cacheSize = 4
	// cacheTTL is how long a cached quantile is used.
	cacheTTL = 100 * time.Millisecond
	// splitQuantile is the quantile by which Split weighs stages against each other.
	splitQuantile = 0.9
	// minTimeQuantile is the quantile that serves as the low estimate of a stage's
	// duration.
	minTimeQuantile = 0.1
	// percent converts a quantile to the percentile that hdrhistogram expects.
	percent = 100
)

type cachedQuantile struct {
	q      float64
	value  time.Duration
	expiry time.Time
}

// Quantile returns the q-th quantile, from 0 to 1, of the recent durations of key. It
// reports false if there are too few of them.
func (t *Tracker) Quantile(key string, q float64) (time.Duration, bool) {
	v, ok := t.keys.Load(key)
	if !ok {
		return 0, false
	}
	return v.(*series).quantile(q, time.Now())
}

// Split divides the remaining time among stages, in proportion to a high quantile of their
// recent durations. A stage without a quantile counts as the mean of the others.
func (t *Tracker) Split(keys []string, remaining time.Duration) []time.Duration {
	parts := make([]time.Duration, len(keys))
	var total time.Duration
	known := 0
	for i, key := range keys {
		d, ok := t.Quantile(key, splitQuantile)
		if !ok {
			continue
		}
		parts[i] = max(d, 1)
		total += parts[i]
		known++
	}
	mean := time.Duration(1)
	if known > 0 {
		mean = max(total/time.Duration(known), 1)
	}
	for i := range parts {
		if parts[i] == 0 {
			parts[i] = mean
			total += mean
		}
	}
	for i := range parts {
		parts[i] = time.Duration(float64(remaining) * (float64(parts[i]) / float64(total)))
	}
	return parts
}

// MinTotalTime returns a low estimate of the total duration of stages that run one after
// another. Stages without a quantile count as zero.
func (t *Tracker) MinTotalTime(keys []string) time.Duration {
	var sum time.Duration
	for _, key := range keys {
		d, _ := t.Quantile(key, minTimeQuantile)
		sum += d
	}
	return sum
}

func (s *series) quantile(q float64, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if s.sum.TotalCount() < s.minObservations {
		return 0, false
	}
	for i := range s.quantiles {
		if c := &s.quantiles[i]; c.q == q && now.Before(c.expiry) {
			return c.value, true
		}
	}
	value := time.Duration(s.sum.ValueAtQuantile(q*percent)) * time.Microsecond
	s.quantiles[s.cacheSlot(q)] = cachedQuantile{
		q:      q,
		value:  value,
		expiry: now.Add(cacheTTL),
	}
	return value, true
}

// cacheSlot returns the index in the cache for q: the one that it has, or else that of the
// oldest entry.
func (s *series) cacheSlot(q float64) int {
	for i := range s.quantiles {
		if s.quantiles[i].q == q && !s.quantiles[i].expiry.IsZero() {
			return i
		}
	}
	i := s.nextSlot
	s.nextSlot = (s.nextSlot + 1) % cacheSize
	return i
}
