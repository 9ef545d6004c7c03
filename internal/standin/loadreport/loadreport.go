// Package loadreport keeps the load that an upstream stand-in reports, which
// can lag behind the true one.
package loadreport

import (
	"sync"
	"time"

	"sequoiafork/internal/wire/upstreamapi"
)

// Sampler is the load as last sampled. It is safe for concurrent use; the zero
// value has no sample.
type Sampler struct {
	mu    sync.Mutex
	taken time.Time
	last  upstreamapi.Load
}

// Load returns the last sample with its age, and takes a new one when that is
// older than lag.
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
