// Package loadreport samples the load that a simulated upstream reports, which
// can lag behind its current load.
package loadreport

import (
	"sync"
	"time"

	"sequoiafork/internal/wire/upstreamapi"
)

// Sampler holds the last load sample. It is safe for concurrent use; the zero
// value has no sample.
type Sampler struct {
	mu    sync.Mutex
	taken time.Time
	last  upstreamapi.Load
}

// Load returns the last sample with its age. It first takes a new sample if the
// last one is older than lag.
func (r *Sampler) Load(lag time.Duration, sample func() upstreamapi.Load) upstreamapi.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if age := now.Sub(r.taken); lag <= 0 || age > lag {
		r.taken = now
		r.last = sample()
	}
	load := r.last
	load.AgeMs = now.Sub(r.taken).Milliseconds()
	return load
}
