package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// queueCapacity is how many lines are buffered while the output is slow.
	queueCapacity = 8192
	// maxLinesPerSecond bounds the lines that one process logs.
	maxLinesPerSecond = 2000
	// syncTimeout bounds the wait for the queue at the end of the process.
	syncTimeout = 500 * time.Millisecond
)

// sampleInterval sets the sampling rate: on average, one in sampleInterval requests is sampled.
const sampleInterval = 16

// Sampled reports whether routine log lines about a request are written. It depends only on
// the request ID, so all daemons choose the same requests.
func Sampled(requestID string) bool {
	return xxhash.Sum64String(requestID)%sampleInterval == 0
}

// queue writes lines in the background. It drops lines when the output is slow or the rate
// is too high, and later logs how many were dropped.
type queue struct {
	lines   chan []byte
	dropped atomic.Int64
	// second is the Unix time at which linesInSecond began to count.
	second        atomic.Int64
	linesInSecond atomic.Int64
	pending       atomic.Int64
}

func newQueue(w io.Writer) *queue {
	q := &queue{
		lines: make(chan []byte, queueCapacity),
	}
	go q.run(w)
	return q
}

// Write queues a copy of a line. It never blocks and never fails.
func (q *queue) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if q.second.Swap(now) != now {
		q.linesInSecond.Store(0)
	}
	if q.linesInSecond.Add(1) > maxLinesPerSecond {
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

// Sync waits until the queued lines are written, at most for syncTimeout.
func (q *queue) Sync() error {
	const poll = 5 * time.Millisecond
	for end := time.Now().Add(syncTimeout); q.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(poll)
	}
	return nil
}

func (q *queue) run(w io.Writer) {
	for line := range q.lines {
		// There is nowhere to report a failed write of the log.
		_, _ = w.Write(line)
		q.pending.Add(-1)
		if n := q.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w, `{"level":"warn","time":%q,"msg":"log lines dropped","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
		}
	}
}
