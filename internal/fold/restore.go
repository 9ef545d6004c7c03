package fold

import (
	"bytes"

	"go.uber.org/zap"
)

// MarkReady makes the machine ready: it has folded a whole state, from the
// start of the log or from a snapshot, and what the log held since.
func (m *StateMachine) MarkReady() {
	m.ready.Store(true)
}

// SnapshotOffset returns the offset that a snapshot covers, if its digest is right.
func SnapshotOffset(data []byte) (uint64, error) {
	snap, err := decodeSnapshot(data)
	if err != nil {
		return 0, err
	}
	return snap.covered, nil
}

// Restore replaces the state by a newer one. It returns a *SnapshotError or a
// *DigestError for a damaged snapshot, a *StaleError for one that is older than the
// state, and leaves the state as it was then.
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
		return &StaleError{
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
	m.noteSnapshot(snap.covered)
	m.digests.add(snap.covered, m.digestLocked(snap.covered), m.config.DigestWindow)
	m.advance(snap.covered + 1)
}

func (m *StateMachine) noteSnapshot(covered uint64) {
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
	m.config.Logger.Error("damaged snapshot refused", zap.Error(err))
}

// checkSnapshot compares a snapshot on the log with the state that this machine
// had at the offset. It never changes the state.
func (m *StateMachine) checkSnapshot(offset uint64, r record) {
	if r.snapshotErr != nil {
		m.counters.SnapshotsDamaged++
		m.config.Logger.Error("damaged snapshot on the log", zap.Uint64("offset", offset), zap.Error(r.snapshotErr))
		return
	}
	snap := r.snapshot
	if snap.covered >= offset {
		m.counters.SnapshotsDamaged++
		m.config.Logger.Error("snapshot covers records after its own offset", zap.Uint64("offset", offset), zap.Uint64("covered", snap.covered))
		return
	}
	if err := m.compareDigest(snap.covered, snap.writer, snap.digest); err == nil {
		m.noteSnapshot(snap.covered)
	}
}

// compare returns a *DigestError if the state at an offset is known and its digest
// is another one.
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
	err := &DigestError{
		Covered: covered,
		Writer:  writer,
		Stated:  stated[:],
		Got:     own[:],
	}
	m.config.Logger.Error("snapshot differs from own state: do not trust its writer", zap.Error(err))
	return err
}
