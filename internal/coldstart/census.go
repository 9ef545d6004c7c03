package coldstart

import (
	"maps"
	"time"
)

// censusMemory is how long a daemon counts as one that there may be, after it was last alive or its address was first
// learned.
const censusMemory = 10 * time.Minute

// Census counts the daemons that there may be, whether or not they can be reached. It keeps the number up when the
// membership shrinks because of a cut. It is not safe for concurrent use.
type Census struct {
	// seen is when the daemon at an address was last alive, or when the address was first learned.
	seen map[string]time.Time
}

// NewCensus returns a Census without daemons.
func NewCensus() *Census {
	return &Census{
		seen: make(map[string]time.Time),
	}
}

// Learn records an address at which there may be a daemon.
func (c *Census) Learn(addr string, now time.Time) {
	if _, ok := c.seen[addr]; !ok {
		c.seen[addr] = now
	}
}

// Alive records that the daemon at an address is alive.
func (c *Census) Alive(addr string, now time.Time) { c.seen[addr] = now }

// Known returns the number of daemons that there may be.
func (c *Census) Known(now time.Time) int {
	n := 0
	for _, at := range c.seen {
		if now.Sub(at) <= censusMemory {
			n++
		}
	}
	return n
}

// Forget drops the addresses that are not counted any more and not among those that Learn is still called with.
func (c *Census) Forget(listed map[string]bool, now time.Time) {
	maps.DeleteFunc(c.seen, func(addr string, at time.Time) bool { return now.Sub(at) > censusMemory && !listed[addr] })
}
