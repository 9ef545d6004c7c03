package fold

import (
	"bytes"

	"go.uber.org/zap"
)

// MarkReady declares that the state is complete: the machine has applied the log from
// its start, or has restored a snapshot and applied the records since.
func (m *StateMachine) MarkReady() {
	m.ready.Store(true)
}

// SnapshotOffset returns the last offset that a snapshot covers. It fails with a
// *SnapshotError or a *DigestMismatchError if the snapshot is corrupted.
func SnapshotOffset(data []byte) (uint64, error) {
	snap, err := decodeSnapshot(data)
	if err != nil {
		return 0, err
	}
	return snap.covered, nil
}

// Restore replaces the state by that of a newer snapshot. It returns a *SnapshotError
// or a *DigestMismatchError if the snapshot is corrupted, and a *SnapshotTooOldError if it is older than
// the state. A snapshot at the offset of the state is only compared with it, which fails
// with a *DigestMismatchError if they differ. The state is unchanged after an error.
func (m *StateMachine) Restore(data []byte) error {
	snap, err := decodeSnapshot(data)
	if err != nil {
		m.countCorrupted(err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next, revision := m.next.Load(), m.tables.Load().Revision()
	if snap.covered+1 < next || snap.tables.Revision() < revision {
		return &SnapshotTooOldError{
			Covered:  snap.covered,
			Revision: snap.tables.Revision(),
			Next:     next,
			Current:  revision,
		}
	}
	if snap.covered+1 == next && next > 1 {
		return m.compareDigest(snap.covered, snap.writer, snap.digest)
	}
	m.replaceState(snap)
	return nil
}

// replaceState replaces everything but the counters. The caller holds mu.
func (m *StateMachine) replaceState(snap *decodedSnapshot) {
	m.hashes = snap.hashes
	m.logTimeMs = snap.logTimeMs
	m.edits = snap.edits
	m.leases = snap.leases
	m.claims.clear()
	for _, c := range snap.claims {
		m.claims.add(c)
	}
	m.tables.Store(snap.tables)
	m.updateLastSnapshot(snap.covered)
	m.digests.add(snap.covered, m.digestLocked(snap.covered), m.config.MaxDigests)
	m.advance(snap.covered + 1)
}

// updateLastSnapshot sets lastSnapshot, unless the present one covers more records.
func (m *StateMachine) updateLastSnapshot(covered uint64) {
	if covered < m.lastSnapshot.LastOffset {
		return
	}
	m.lastSnapshot = SnapshotInfo{
		LastOffset: covered,
		TimeMs:     m.logTimeMs,
	}
}

func (m *StateMachine) countCorrupted(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.SnapshotsDamaged++
	m.config.Logger.Error("corrupted snapshot rejected", zap.Error(err))
}

// checkSnapshot compares a snapshot in the log with the state that this machine had at
// the offset that the snapshot covers. It updates only lastSnapshot and the counters.
func (m *StateMachine) checkSnapshot(offset uint64, r record) {
	if r.snapshotErr != nil {
		m.counters.SnapshotsDamaged++
		m.config.Logger.Error("corrupted snapshot in the log", zap.Uint64("offset", offset), zap.Error(r.snapshotErr))
		return
	}
	snap := r.snapshot
	if snap.covered >= offset {
		m.counters.SnapshotsDamaged++
		m.config.Logger.Error("snapshot covers records after its own offset", zap.Uint64("offset", offset), zap.Uint64("covered", snap.covered))
		return
	}
	if err := m.compareDigest(snap.covered, snap.writer, snap.digest); err == nil {
		m.updateLastSnapshot(snap.covered)
	}
}

// compareDigest returns a *DigestMismatchError if the state after an offset had another digest.
// It returns nil if that is no longer known.
func (m *StateMachine) compareDigest(covered uint64, writer string, stated Digest) error {
	own, known := m.digests.at(covered)
	if !known {
		return nil
	}
	if bytes.Equal(own[:], stated[:]) {
		m.counters.SnapshotMatches++
		return nil
	}
	m.counters.SnapshotMismatches++
	err := &DigestMismatchError{
		Covered: covered,
		Writer:  writer,
		Stated:  stated[:],
		Got:     own[:],
	}
	m.config.Logger.Error("snapshot digest differs from that of the local state: its writer or this daemon is wrong", zap.Error(err))
	return err
}
