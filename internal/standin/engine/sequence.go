package engine

import (
	"container/heap"
	"time"

	"sequoiafork/internal/standin/control"
)

// sequence is the state of one completion. Engine.mu guards it.
type sequence struct {
	id          string
	priority    int
	arrival     uint64
	prompt      string
	tokens      []string
	produced    int // Number of tokens produced so far.
	cachedBytes int

	execution  *control.Execution
	readers    int       // Number of attached streams.
	lastDetach time.Time // Time of the last detach; used only while readers is 0.
	queued     bool
	running    bool
	removed    bool          // Cancelled or expired.
	changed    chan struct{} // Closed and replaced when something changes.
}

func (s *sequence) finished() bool {
	return s.produced == len(s.tokens)
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// queue orders waiting sequences by priority, then by arrival.
type queue []*sequence

var _ heap.Interface = (*queue)(nil)

// Len returns the number of queued sequences.
func (q queue) Len() int { return len(q) }

// Less reports whether sequence i runs before j.
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two sequences.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a sequence.
func (q *queue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop removes the last sequence.
func (q *queue) Pop() any {
	old := *q
	s := old[len(old)-1]
	*q = old[:len(old)-1]
	return s
}
