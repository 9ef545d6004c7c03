package replay

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sequoiafork/internal/ident"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
)

// condition is the state of a simulated upstream.
type condition int

const (
	conditionLive condition = iota
	conditionDead
	conditionLeaving
	conditionFailing
)

// cachedPrefillFraction is the fraction of the prefill time that a cached prefix takes.
const cachedPrefillFraction = 0.05

// server is one simulated upstream with a fixed number of slots, a priority queue,
// an LRU cache of prefixes, and load reports that are loadLag old.
type server struct {
	pool    Pool
	seed    uint64
	loadLag time.Duration

	mu       sync.Mutex
	state    condition
	slowdown float64
	running  int
	waiters  []*waiter // by priority, then arrival
	cache    []string  // the most recently used prefix last
	samples  []sample
}

// waiter is a call that waits for a slot; granted is closed when it gets one.
type waiter struct {
	priority int
	granted  chan struct{}
}

// sample is the load at one time.
type sample struct {
	at              time.Time
	running, queued int
}

func newServer(p Pool, cfg Config) *server {
	return &server{
		pool:     p,
		seed:     cfg.Seed,
		loadLag:  time.Duration(cfg.Scenario.LoadLagMs) * time.Millisecond,
		slowdown: 1,
	}
}

func (s *server) condition() condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *server) setCondition(st condition, slowdown float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = st
	s.slowdown = slowdown
}

// acquireSlot waits for a slot until ctx is done.
func (s *server) acquireSlot(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.pool.Concurrency && len(s.waiters) == 0 {
		s.running++
		s.recordSample()
		s.mu.Unlock()
		return nil
	}
	q := &waiter{
		priority: priority,
		granted:  make(chan struct{}),
	}
	i, _ := slices.BinarySearchFunc(s.waiters, priority, func(o *waiter, p int) int {
		if o.priority <= p {
			return -1
		}
		return 1
	})
	s.waiters = slices.Insert(s.waiters, i, q)
	s.recordSample()
	s.mu.Unlock()
	select {
	case <-q.granted:
		return nil
	case <-ctx.Done():
		return s.cancelWait(ctx, q)
	}
}

// cancelWait removes q from the queue, or releases its slot if it was granted one in
// the meantime.
func (s *server) cancelWait(ctx context.Context, q *waiter) error {
	s.mu.Lock()
	i := slices.Index(s.waiters, q)
	if i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		s.recordSample()
	}
	s.mu.Unlock()
	if i < 0 {
		s.releaseSlot()
	}
	return ctx.Err()
}

// releaseSlot frees a slot and grants it to the first waiter, if any.
func (s *server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if len(s.waiters) > 0 {
		s.running++
		close(s.waiters[0].granted)
		s.waiters = slices.Delete(s.waiters, 0, 1)
	}
	s.recordSample()
}

func (s *server) recordSample() {
	s.samples = append(s.samples, sample{
		at:      time.Now(),
		running: s.running,
		queued:  len(s.waiters),
	})
}

// reportedLoad returns the load as it was loadLag ago and drops older samples.
func (s *server) reportedLoad() *upstream.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	sampledAt := time.Now().Add(-s.loadLag)
	i := len(s.samples) - 1
	for i > 0 && s.samples[i].at.After(sampledAt) {
		i--
	}
	s.samples = s.samples[i:]
	l := s.samples[0]
	if l.at.After(sampledAt) {
		l = sample{}
	}
	return &upstream.Load{
		InFlight: l.running,
		Queued:   l.queued,
		Capacity: s.pool.Concurrency,
		Age:      s.loadLag,
	}
}

// serviceTime returns how long the call takes to execute. RequestSigma's factor depends
// on the request and stage only, so that all policies get the same work; AttemptSigma's
// depends on the attempt.
func (s *server) serviceTime(c pipeline.Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := s.pool.MeanMs * logNormalFactor(s.seed, c.RequestID+c.Stage.Name, s.pool.RequestSigma)
	ms *= logNormalFactor(s.seed, c.AttemptID, s.pool.AttemptSigma)
	ms += s.prefillMs(c.Input)
	return time.Duration(ms * s.slowdown * float64(time.Millisecond))
}

// prefillMs returns the time to process the prompt, in milliseconds, and caches its
// prefix.
func (s *server) prefillMs(input string) float64 {
	if s.pool.CachedPrefixes == 0 {
		return s.pool.PrefillMs
	}
	prefix := input[:min(len(input), prefixBytes)]
	i := slices.Index(s.cache, prefix)
	if i >= 0 {
		s.cache = append(slices.Delete(s.cache, i, i+1), prefix)
		return s.pool.PrefillMs * cachedPrefillFraction
	}
	s.cache = append(s.cache, prefix)
	if len(s.cache) > s.pool.CachedPrefixes {
		s.cache = slices.Delete(s.cache, 0, 1)
	}
	return s.pool.PrefillMs
}

// logNormalFactor returns a log-normally distributed factor with mean 1 that is
// determined by the seed and the key.
func logNormalFactor(seed uint64, key string, sigma float64) float64 {
	rng := rand.New(rand.NewPCG(seed, ident.Hash(key)))
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}
