package coldstart

import "time"

const (
	// window is the time in which the requests at a cold upstream are counted.
	window = time.Second
	// usableFraction is the part of the limit that is granted. The rest covers requests that are delayed on their
	// way, and views of the daemons that differ in single members.
	usableFraction = 0.8
	// viewFraction is the part that the daemons of one view share, so that two views whose members don't
	// know each other stay within the limit together.
	viewFraction = 0.5
	// minLimit is the lowest limit under which a single request fits into a second.
	minLimit = 1.0
)

// Share is the place of a daemon among those that may send to an upstream.
type Share struct {
	// Rank is the place in the order of the living daemons for the upstream, from 0.
	Rank int
	// Living is the number of daemons that this one takes for living, itself included, and Known the number of
	// those that there may be, reachable or not.
	Living int
	Known  int
	// Sole reports that only the first daemon sends.
	Sole bool
}

// units returns how many requests in any second the daemon may send to an upstream with a limit.
//
// The daemons of a view share half of what is granted, or less if they are fewer than half of the known ones. Whatever
// parts the daemons are cut into, the parts together then stay within the limit.
func (s Share) units(limit float64) int {
	total := s.viewUnits(limit)
	sharers := min(s.Living, total)
	if s.Sole {
		sharers = min(sharers, 1)
	}
	if s.Rank >= sharers {
		return 0
	}
	units := total / sharers
	if s.Rank < total%sharers {
		units++
	}
	return units
}

// viewUnits returns how many requests in any second all daemons of this one's view may send. If half of the limit is
// less than one request, a view with most of the daemons has one.
func (s Share) viewUnits(limit float64) int {
	known := max(s.Known, s.Living, 1)
	part := min(viewFraction, float64(s.Living)/float64(known))
	units := int(usableFraction * limit * part)
	if units == 0 && limit >= minLimit && 2*s.Living > known {
		return 1
	}
	return units
}
