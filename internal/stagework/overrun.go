package stagework

import "time"

const (
	// overrunWeight is the weight of the newest job in the moving averages of an overrun, and maxOverrun bounds
	// what one job counts.
	overrunWeight = 0.1
	maxOverrun    = time.Second
	// overrunDeviations is the number of mean deviations that a bound lies above the mean.
	overrunDeviations = 2.0
)

// overrun estimates by how much the stages of jobs end later than forecast at admission. The zero value
// is an overrun of zero.
//
// It answers the load of a burst on services that are full: the mean overrun would accept jobs until half of
// them miss their objective by a little, and an answer that is late by a little is worth little more to its
// caller than one that is rejected at once.
type overrun struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation from the mean
}

// observe returns the overrun after another job.
func (o overrun) observe(late time.Duration) overrun {
	late = min(max(late, 0), maxOverrun)
	off := late - o.mean
	o.mean += time.Duration(overrunWeight * float64(off))
	o.deviation += time.Duration(overrunWeight * float64(off.Abs()-o.deviation))
	return o
}

// bound returns the overrun that most jobs stay within.
func (o overrun) bound() time.Duration {
	return min(o.mean+time.Duration(overrunDeviations*float64(o.deviation)), maxOverrun)
}
