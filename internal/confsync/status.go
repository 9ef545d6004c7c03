package confsync

import "time"

// Status describes the log as of its last read, and the records received from peers.
type Status struct {
	// FirstOffset and EndOffset bound the offsets that the log retains, as of LastRead.
	FirstOffset uint64
	EndOffset   uint64
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
func (s *Syncer) Status() Status {
	s.statusMu.Lock()
	current := s.status
	s.statusMu.Unlock()
	s.ingestMu.Lock()
	defer s.ingestMu.Unlock()
	current.Pending = len(s.pending)
	return current
}

// NextOffset returns the offset of the next record to read.
func (s *Syncer) NextOffset() uint64 {
	return s.machine.NextOffset()
}

// logHealthy reports whether the log responded to the latest read, and did so no longer
// ago than the read timeout.
func (s *Syncer) logHealthy() bool {
	s.statusMu.Lock()
	defer s.statusMu.Unlock()
	return s.status.LogError == nil && time.Since(s.status.LastRead) <= s.readTimeout()
}

func (s *Syncer) setStatus(change func(*Status)) {
	s.statusMu.Lock()
	defer s.statusMu.Unlock()
	change(&s.status)
}
