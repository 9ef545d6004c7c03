package idempotency

import "time"

// SetClockBack acts as if the wall clock had been set back since the start.
func (r *Registry) SetClockBack(d time.Duration) { r.epoch = r.epoch.Add(d) }
