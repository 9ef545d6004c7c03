package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// queueLines is how many lines wait for a slow reader of the output.
	queueLines = 8192
	// linesPerSecond bounds the lines of one process.
	linesPerSecond = 2000
	// syncTimeout bounds the wait for the queue at the end of the process.
	syncTimeout = 500 * time.Millisecond
)

// sampleOf is the part of ordinary requests that are logged, as one in so many.
const sampleOf = 16

// Sampled reports whether the ordinary decisions about a request are logged. All daemons
// choose the same requests.
func Sampled(requestID string) bool {
	return xxhash.Sum64String(requestID)%sampleOf == 0
}

// queue writes lines in the background. It drops lines when the output is slow or the
// lines are too many, and says later how many.
type queue struct {
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64
	count   atomic.Int64
	pending atomic.Int64
}

func newQueue(w io.Writer) *queue {
	q := &queue{
		lines: make(chan []byte, queueLines),
	}
	go q.run(w)
	return q
}

// Write queues a copy of a line. It never blocks and never fails.
func (q *queue) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if q.second.Swap(now) != now {
		q.count.Store(0)
	}
	if q.count.Add(1) > linesPerSecond {
		q.dropped.Add(1)
		return len(line), nil
	}
	q.pending.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.pending.Add(-1)
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits a short time until the lines that were queued are written.
func (q *queue) Sync() error {
	const poll = 5 * time.Millisecond
	for end := time.Now().Add(syncTimeout); q.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(poll)
	}
	return nil
}

func (q *queue) run(w io.Writer) {
	for line := range q.lines {
		// A line that can't be written has nowhere to be reported.
		_, _ = w.Write(line)
		q.pending.Add(-1)
		if n := q.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w, `{"level":"warn","time":%q,"msg":"log lines dropped","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
		}
	}
}
