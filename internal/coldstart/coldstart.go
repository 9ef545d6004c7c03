// Package coldstart decides which daemons may send requests to a cold upstream, and when.
//
// An upstream that has just started, or that returns to work, is slow at first and ends if it gets much more
// than a few requests a second. All daemons together send it at most a limit in any second. The right to send is
// granted in advance and without messages: for each upstream all daemons have the same order, the first few send
// at fixed intervals, and the others not at all. Load it answers: a data centre whose evacuation ends under
// full load, so that all upstreams of a pool are cold at once and each daemon would send to all of them.
//
//	ledger := coldstart.NewLedger()
//	mark := ledger.Mark(upstream, spec, bound)
//	turns := coldstart.NewTurns(rights, key)
//	turns.Update(mark, now)
//	if turns.Ready(now) {
//		turn := turns.Take(now)
//		// send
//	}
//
// The parts do no I/O: Ledger knows which upstreams are cold, Census how many daemons there may be, Rights what
// this daemon may do as one of them, and Turns when it may send to one upstream.
package coldstart

import (
	"fmt"
	"time"
)

// Spec is how the upstreams of a service behave while they are cold. The zero value means that they never are.
type Spec struct {
	// Start is how long an upstream is cold after its start or its return.
	Start time.Duration
	// PerSecond is the number of requests a second that a cold upstream takes.
	PerSecond float64
}

// Bound is how much more than its rate a cold upstream may get: in any second PerSecond times Over, and Slack
// requests more. A zero Over means one.
type Bound struct {
	Over  float64
	Slack float64
}

// limit returns how many requests a cold upstream may get in any second, or zero if it is never cold.
func (b Bound) limit(s Spec) float64 {
	if s.PerSecond <= 0 {
		return 0
	}
	over := b.Over
	if over == 0 {
		over = 1
	}
	return s.PerSecond*over + b.Slack
}

// Mark is what is known of an upstream being cold. It is an immutable value. The zero value belongs to an upstream
// of which nothing is known and whose service has no cold rate.
type Mark struct {
	// Known reports that the list says until when the upstream is cold.
	Known bool
	// Until is the end of that time. Zero means that the upstream is not cold.
	Until time.Time
	// Limit is how many requests the upstream may get in any second from all daemons together while it is cold.
	// Zero means that it is never cold.
	Limit float64
}

// WithUntil returns a copy of m that ends at another time.
func (m Mark) WithUntil(until time.Time) Mark {
	m.Until = until
	return m
}

// WithLimit returns a copy of m with another limit.
func (m Mark) WithLimit(limit float64) Mark {
	m.Limit = limit
	return m
}

// String returns the mark for logs and tests, without the time, which differs between runs.
func (m Mark) String() string {
	switch {
	case m == Mark{}:
		return "unknown"
	case m.Until.IsZero():
		return fmt.Sprintf("warm, limit %g", m.Limit)
	}
	return fmt.Sprintf("cold, limit %g", m.Limit)
}
