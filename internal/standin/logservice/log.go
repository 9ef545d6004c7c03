// Package logservice stands in for the platform's append-only log service.
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
	// Control is the endpoint that sets faults; it is required.
	Control *control.Control
	// AppendsPerSecond is DefaultAppendsPerSecond when zero.
	AppendsPerSecond float64
	// Burst is DefaultBurst when zero.
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

// stream is one sequence of records. Offsets start at one.
type stream struct {
	mu         sync.Mutex
	first      int64
	records    []record
	lastTimeMs int64
	appended   chan struct{}
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

// expire drops all but the newest records; a retain of zero keeps all.
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

// read returns up to limit records from an offset on, and the bounds.
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

// wait returns when a record with the offset exists, when ctx ends, or when d
// has passed.
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
