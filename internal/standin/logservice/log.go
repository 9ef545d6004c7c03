// Package logservice simulates the platform's append-only log service.
package logservice

import (
	"cmp"
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sequoiafork/internal/standin/control"
)

// Defaults of a Config.
const (
	DefaultAppendsPerSecond = 400
	DefaultBurst            = 40
)

// Config holds the settings of a Log.
type Config struct {
	// Control supplies the injected faults and the ledger; it is required.
	Control *control.Control
	// AppendsPerSecond is the rate limit, DefaultAppendsPerSecond when zero.
	AppendsPerSecond float64
	// Burst is the burst size of the rate limit, DefaultBurst when zero.
	Burst int
}

// Log keeps streams of records in memory. It is safe for concurrent use.
type Log struct {
	control *control.Control
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
}

// New returns an empty Log.
func New(c Config) *Log {
	c.AppendsPerSecond = cmp.Or(c.AppendsPerSecond, DefaultAppendsPerSecond)
	c.Burst = cmp.Or(c.Burst, DefaultBurst)
	return &Log{
		control: c.Control,
		limiter: rate.NewLimiter(rate.Limit(c.AppendsPerSecond), c.Burst),
		streams: make(map[string]*stream),
	}
}

func (l *Log) stream(name string) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.streams[name]
	if !ok {
		s = &stream{
			first:    1,
			appended: make(chan struct{}),
		}
		l.streams[name] = s
	}
	return s
}

type record struct {
	offset int64
	timeMs int64
	data   []byte
}

// stream is an append-only sequence of records. Offsets start at 1.
type stream struct {
	mu         sync.Mutex
	first      int64
	records    []record
	lastTimeMs int64         // Time of the newest record; record times never decrease.
	appended   chan struct{} // Closed and replaced by each append.
}

func (s *stream) append(data []byte, retain int64) record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTimeMs = max(s.lastTimeMs, time.Now().UnixMilli())
	r := record{
		offset: s.end(),
		timeMs: s.lastTimeMs,
		data:   data,
	}
	s.records = append(s.records, r)
	s.expire(retain)
	close(s.appended)
	s.appended = make(chan struct{})
	return r
}

// expire drops all but the newest retain records; zero keeps all.
func (s *stream) expire(retain int64) {
	surplus := int64(len(s.records)) - retain
	if retain <= 0 || surplus <= 0 {
		return
	}
	s.records = append([]record(nil), s.records[surplus:]...)
	s.first += surplus
}

func (s *stream) end() int64 {
	return s.first + int64(len(s.records))
}

// read returns up to limit records starting at an offset, the offset of the
// oldest retained record and the offset of the next append.
func (s *stream) read(from int64, limit int, retain int64) (records []record, first, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(retain)
	if from < s.first || from >= s.end() {
		return nil, s.first, s.end()
	}
	records = s.records[from-s.first:]
	if len(records) > limit {
		records = records[:limit]
	}
	return records, s.first, s.end()
}

// wait blocks until a record with the offset exists, ctx ends or d has passed.
func (s *stream) wait(ctx context.Context, offset int64, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		s.mu.Lock()
		end, appended := s.end(), s.appended
		s.mu.Unlock()
		if end > offset {
			return
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		}
	}
}
