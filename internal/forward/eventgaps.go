package forward

import (
	"slices"
	"time"
)

const (
	// minEventGaps is the number of gaps from which on their median says something of the upstream.
	minEventGaps = 3
	// maxEventGaps bounds the gaps that are kept of one response.
	maxEventGaps = 32
)

// eventGaps holds the times between the first events of a response. Its zero value holds none.
type eventGaps struct {
	last time.Time
	gaps []time.Duration
}

// add records an event that was received at a time.
func (g *eventGaps) add(now time.Time) {
	if !g.last.IsZero() && len(g.gaps) < maxEventGaps {
		g.gaps = append(g.gaps, now.Sub(g.last))
	}
	g.last = now
}

// median returns the median gap, or zero if there are too few. A prompt that the upstream reads in between, or a caller
// that does not read for a moment, makes a few gaps long and not the median.
func (g *eventGaps) median() time.Duration {
	if len(g.gaps) < minEventGaps {
		return 0
	}
	slices.Sort(g.gaps)
	return g.gaps[len(g.gaps)/2]
}
