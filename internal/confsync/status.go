package confsync

import "time"

// Status is what a reader knows of the log.
type Status struct {
	// First and End bound the offsets that the log keeps, as of LastRead.
	First uint64
	End   uint64
	// LastRead is when the log last answered.
	LastRead time.Time
	// LogError is why the latest read failed. Nil means that it did not.
	LogError error
	// LastPeerSync is when a peer last gave records or a snapshot.
	LastPeerSync time.Time
	// Pending is how many records from peers wait for earlier ones.
	Pending int
}

// Status returns what the reader knows of the log.
func (r *Syncer) Status() Status {
	r.statusMu.Lock()
	s := r.status
	r.statusMu.Unlock()
	r.ingestMu.Lock()
	defer r.ingestMu.Unlock()
	s.Pending = len(r.pending)
	return s
}

// NextOffset returns the offset of the next record to read.
func (r *Syncer) NextOffset() uint64 {
	return r.machine.NextOffset()
}

// logHealthy reports whether the log answered the latest read, and not long ago.
func (r *Syncer) logHealthy() bool {
	r.statusMu.Lock()
	defer r.statusMu.Unlock()
	return r.status.LogError == nil && time.Since(r.status.LastRead) <= r.readTimeout()
}

func (r *Syncer) setStatus(change func(*Status)) {
	r.statusMu.Lock()
	defer r.statusMu.Unlock()
	change(&r.status)
}
