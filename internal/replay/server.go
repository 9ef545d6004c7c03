package replay

import (
	"context"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
)

type condition int

const (
	conditionLive condition = iota
	conditionDead
	conditionLeaving
	conditionFailing
)

// cachedPrefill is the part of the prefill time that a cached prefix takes.
const cachedPrefill = 0.05

// server is one in-memory upstream: slots, a queue by priority, a cache of
// prefixes, and load reports that lag.
type server struct {
	pool Pool
	seed uint64
	lag  time.Duration

	mu      sync.Mutex
	state   condition
	factor  float64
	running int
	queue   []*queued // by priority, then arrival
	cache   []string  // the most recently used prefix last
	samples []sample
}

type queued struct {
	priority int
	turn     chan struct{}
}

type sample struct {
	at              time.Time
	running, queued int
}

func newServer(p Pool, cfg Config) *server {
	return &server{
		pool:   p,
		seed:   cfg.Seed,
		lag:    time.Duration(cfg.Scenario.LoadLagMs) * time.Millisecond,
		factor: 1,
	}
}

func (s *server) condition() condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *server) set(st condition, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = st
	s.factor = factor
}

// enter waits for a slot.
func (s *server) enter(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.pool.Concurrency && len(s.queue) == 0 {
		s.running++
		s.sample()
		s.mu.Unlock()
		return nil
	}
	q := &queued{
		priority: priority,
		turn:     make(chan struct{}),
	}
	i, _ := slices.BinarySearchFunc(s.queue, priority, func(o *queued, p int) int {
		if o.priority <= p {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, i, q)
	s.sample()
	s.mu.Unlock()
	select {
	case <-q.turn:
		return nil
	case <-ctx.Done():
		return s.giveUp(ctx, q)
	}
}

// giveUp takes q out of the queue, or gives its slot back.
func (s *server) giveUp(ctx context.Context, q *queued) error {
	s.mu.Lock()
	i := slices.Index(s.queue, q)
	if i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.sample()
	}
	s.mu.Unlock()
	if i < 0 {
		s.leave()
	}
	return ctx.Err()
}

// leave hands the slot on.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if len(s.queue) > 0 {
		s.running++
		close(s.queue[0].turn)
		s.queue = slices.Delete(s.queue, 0, 1)
	}
	s.sample()
}

func (s *server) sample() {
	s.samples = append(s.samples, sample{
		at:      time.Now(),
		running: s.running,
		queued:  len(s.queue),
	})
}

// load returns the load as it was sampled the lag ago.
func (s *server) load() *upstream.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	then := time.Now().Add(-s.lag)
	i := len(s.samples) - 1
	for i > 0 && s.samples[i].at.After(then) {
		i--
	}
	s.samples = s.samples[i:]
	l := s.samples[0]
	if l.at.After(then) {
		l = sample{}
	}
	return &upstream.Load{
		InFlight: l.running,
		Queued:   l.queued,
		Capacity: s.pool.Concurrency,
		Age:      s.lag,
	}
}

// duration returns the time that the call takes. The size of the work depends
// on the request and stage only, so that all policies see the same work; the
// noise depends on the attempt.
func (s *server) duration(c pipeline.Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := s.pool.MeanMs * spread(s.seed, c.RequestID+c.Stage.Name, s.pool.RequestSigma)
	ms *= spread(s.seed, c.AttemptID, s.pool.AttemptSigma)
	ms += s.prefill(c.Input)
	return time.Duration(ms * s.factor * float64(time.Millisecond))
}

// prefill returns the time to read the prompt and caches its prefix.
func (s *server) prefill(input string) float64 {
	if s.pool.CachedPrefixes == 0 {
		return s.pool.PrefillMs
	}
	prefix := input[:min(len(input), prefixBytes)]
	i := slices.Index(s.cache, prefix)
	if i >= 0 {
		s.cache = append(slices.Delete(s.cache, i, i+1), prefix)
		return s.pool.PrefillMs * cachedPrefill
	}
	s.cache = append(s.cache, prefix)
	if len(s.cache) > s.pool.CachedPrefixes {
		s.cache = slices.Delete(s.cache, 0, 1)
	}
	return s.pool.PrefillMs
}

// spread returns a log-normal factor with mean one.
func spread(seed uint64, key string, sigma float64) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	rng := rand.New(rand.NewPCG(seed, h.Sum64()))
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}
