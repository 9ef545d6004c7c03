package replay

import (
	"fmt"
	"time"
)

// arrivalIndex is the position of an arrival in its trace. What several arrivals would
// do at one instant, they do in this order, each at an instant of its own: the order in
// which the runtime schedules their goroutines then does not change the result of a run.
type arrivalIndex int

// offset returns the time by which the instants of the arrival differ from those of others.
func (i arrivalIndex) offset() time.Duration {
	return time.Duration(i) * time.Nanosecond
}

// requestID returns the ID of the request that the caller of the arrival sends as its
// try-th.
func (i arrivalIndex) requestID(try int) string {
	return fmt.Sprintf("r%d-%d", i, try)
}

// arrivalOf returns the index of the arrival with the given request ID, or zero if it has
// none.
func arrivalOf(requestID string) arrivalIndex {
	var i arrivalIndex
	if _, err := fmt.Sscanf(requestID, "r%d-", &i); err != nil {
		return 0
	}
	return i
}
