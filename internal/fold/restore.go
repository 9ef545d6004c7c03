package fold

import (
	"bytes"

	"go.uber.org/zap"
)

// MarkReady makes the machine ready: it has folded a whole state, from the
// start of the log or from a snapshot, and what the log held since.
func (m *StateMachine) MarkReady() {
	m.complete.Store(true)
}

// SnapshotOffset returns the offset that a snapshot covers, if its digest is right.
func SnapshotOffset(data []byte) (uint64, error) {
	img, err := decodeSnapshot(data)
	if err != nil {
		return 0, err
	}
	return img.covered, nil
}

// Restore replaces the state by a newer one. It returns a *SnapshotError or a
// *DigestError for a damaged snapshot, a *StaleError for one that is older than the
// state, and leaves the state as it was then.
func (m *StateMachine) Restore(data []byte) error {
	img, err := decodeSnapshot(data)
	if err != nil {
		m.countDamaged(err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next, revision := m.next.Load(), m.tables.Load().Revision()
	if img.covered+1 < next || img.tables.Revision() < revision {
		return &StaleError{
			Covered:  img.covered,
			Revision: img.tables.Revision(),
			Next:     next,
			Current:  revision,
		}
	}
	if img.covered+1 == next && next > 1 {
		return m.compare(img.covered, img.writer, img.digest)
	}
	m.adopt(img)
	return nil
}

func (m *StateMachine) adopt(img *image) {
	m.sums = img.sums
	m.clockMs = img.clockMs
	m.edits = img.edits
	m.leases = img.leases
	m.claims.clear()
	for _, c := range img.claims {
		m.claims.add(c)
	}
	m.tables.Store(img.tables)
	m.markSnapshot(img.covered)
	m.digests.add(img.covered, m.digestLocked(img.covered), m.config.DigestWindow)
	m.advance(img.covered + 1)
}

func (m *StateMachine) markSnapshot(covered uint64) {
	if covered < m.lastSnap.LastOffset {
		return
	}
	m.lastSnap = SnapshotInfo{
		LastOffset: covered,
		TimeMs:     m.clockMs,
	}
}

func (m *StateMachine) countDamaged(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.SnapshotsDamaged++
	m.config.Logger.Error("damaged snapshot refused", zap.Error(err))
}

// checkSnapshot compares a snapshot on the log with the state that this machine
// had at the offset. It never changes the state.
func (m *StateMachine) checkSnapshot(offset uint64, r record) {
	if r.damage != nil {
		m.counters.SnapshotsDamaged++
		m.config.Logger.Error("damaged snapshot on the log", zap.Uint64("offset", offset), zap.Error(r.damage))
		return
	}
	img := r.image
	if img.covered >= offset {
		m.counters.SnapshotsDamaged++
		m.config.Logger.Error("snapshot covers records after its own offset", zap.Uint64("offset", offset), zap.Uint64("covered", img.covered))
		return
	}
	if err := m.compare(img.covered, img.writer, img.digest); err == nil {
		m.markSnapshot(img.covered)
	}
}

// compare returns a *DigestError if the state at an offset is known and its digest
// is another one.
func (m *StateMachine) compare(covered uint64, writer string, stated Digest) error {
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
