package fold

import (
	"context"
	"fmt"
	"time"

	"sequoiafork/internal/table"
)

// Tables returns the current tables.
func (m *StateMachine) Tables() *table.Tables {
	return m.tables.Load()
}

// NextOffset returns the offset of the next record to apply. It only grows.
func (m *StateMachine) NextOffset() uint64 {
	return m.next.Load()
}

// Revision returns the revision of the tables. It only grows.
func (m *StateMachine) Revision() uint64 {
	return m.tables.Load().Revision()
}

// Ready reports whether MarkReady was called.
func (m *StateMachine) Ready() bool {
	return m.ready.Load()
}

// Edit returns the outcome of an edit, if it is still within the edit window.
func (m *StateMachine) Edit(id string) (EditOutcome, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	o, ok := m.edits.byID[id]
	return o, ok
}

// Claim returns the claim of a key, if there is one within the claim window.
func (m *StateMachine) Claim(key KeyHash) (Claim, bool) {
	return m.claims.get(key)
}

// Lease returns the state of a lease. It may have expired by the log's time.
func (m *StateMachine) Lease(name string) (Lease, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	l, ok := m.leases[name]
	return l, ok
}

// LogTime returns the log's time: the highest time of the applied records.
func (m *StateMachine) LogTime() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return time.UnixMilli(m.logTimeMs)
}

// Digest returns the offset of the last record and the digest of the state after it.
func (m *StateMachine) Digest() (uint64, Digest) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	covered := m.next.Load() - 1
	return covered, m.digestLocked(covered)
}

func (m *StateMachine) digestLocked(covered uint64) Digest {
	return m.hashes.digest(covered, m.tables.Load().Revision(), m.logTimeMs)
}

// LastSnapshot describes the newest snapshot that the machine has restored, or has
// found in the log without a contradiction to its state. The zero value means none.
func (m *StateMachine) LastSnapshot() SnapshotInfo {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.lastSnapshot
}

// Counters returns the counts since the machine was created.
func (m *StateMachine) Counters() Counters {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.counters
}

// Wait blocks until the next offset is at least the given one, or ctx is done.
func (m *StateMachine) Wait(ctx context.Context, nextOffset uint64) error {
	for {
		m.mu.RLock()
		changed := m.changed
		m.mu.RUnlock()
		if m.next.Load() >= nextOffset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for offset %d, next is %d: %w", nextOffset, m.next.Load(), ctx.Err())
		}
	}
}
