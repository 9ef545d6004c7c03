// Package suspension tells a periodic task that the process did not run for a time: it was stopped, its machine
// slept, or it got no processor. What was true before may have ended, such as a role that others have taken over.
//
//	var d suspension.Detector
//	for range ticker.C {
//		if d.Pass() > limit {
//			// give up what others may have taken over
//		}
//	}
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Detector measures the time between two passes of a task. Its zero value is ready. It is not safe for concurrent use.
type Detector struct {
	last     time.Time     // zero before the first pass
	lastBoot time.Duration // time since the boot of the machine, with the time that it slept
}

// Pass returns the time since the last pass, and zero for the first. It counts the time for which the machine slept,
// which the monotonic clock does not.
func (d *Detector) Pass() time.Duration { return d.pass(time.Now(), sinceBoot()) }

func (d *Detector) pass(now time.Time, boot time.Duration) time.Duration {
	elapsed := max(now.Sub(d.last), boot-d.lastBoot)
	if d.last.IsZero() {
		elapsed = 0
	}
	d.last = now
	d.lastBoot = boot
	return elapsed
}

// sinceBoot returns the time since the boot of the machine, or zero if it is not known.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
