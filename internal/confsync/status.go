package confsync

import "time"

// Status describes the log as a syncer last read it, and its records from peers.
type Status struct {
	// First and End bound the offsets that the log retains, as of LastRead.
	First uint64
	End   uint64
	// LastRead is when the log last responded.
	LastRead time.Time
	// LogError is the error of the latest read, or nil if it succeeded.
	LogError error
	// LastPeerSync is when records or a snapshot were last fetched from a peer.
	LastPeerSync time.Time
	// Pending is how many records from peers wait for earlier ones.
	Pending int
}

// Status returns the syncer's status.
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

// logHealthy reports whether the log responded to the latest read within the last read
// timeout.
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
