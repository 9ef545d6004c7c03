package stagetime

import "time"

const (
	// cacheSize is the number of quantiles that a key keeps computed.
	cacheSize = 4
	// cacheFor is how long a computed quantile is used.
	cacheTTL = 100 * time.Millisecond
	// splitQuantile weighs the stages of a deadline against each other.
	splitQuantile = 0.9
	// needQuantile is the low estimate of a stage's time.
	minTimeQuantile = 0.1
	// percent turns a quantile into the percentile that hdrhistogram takes.
	percent = 100
)

type cachedQuantile struct {
	q      float64
	value  time.Duration
	expiry time.Time
}

// Quantile returns the q-th quantile, from 0 to 1, of the recent times of key.
// It reports false when there are too few of them.
func (t *Tracker) Quantile(key string, q float64) (time.Duration, bool) {
	v, ok := t.keys.Load(key)
	if !ok {
		return 0, false
	}
	return v.(*series).quantile(q, time.Now())
}

// Split divides the remaining time among stages, in proportion to the high
// quantile of each one's recent times. Stages without times count as the mean
// of the others.
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

// MinTotalTime returns a low estimate of the time that the stages take one after
// another. Stages without times count as zero.
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

// slot returns the place in the cache for q: its own, else the oldest.
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
