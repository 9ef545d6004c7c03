package fold

import (
	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/recordpb"
)

// Apply applies the record at an offset. A record that was applied before is ignored,
// and one that can't be decoded is counted and skipped. It returns a *GapError if
// records before the offset are missing.
func (m *StateMachine) Apply(offset uint64, timeMs int64, data []byte) error {
	if offset < m.next.Load() {
		return nil
	}
	rec := decodeRecord(data)
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.next.Load()
	if offset < next {
		return nil
	}
	if offset > next {
		return &GapError{
			Offset: offset,
			Next:   next,
		}
	}
	m.logTimeMs = max(m.logTimeMs, timeMs)
	m.applyRecord(offset, rec)
	m.expire()
	m.counters.Applied++
	m.digests.add(offset, m.digestLocked(offset), m.config.MaxDigests)
	m.advance(offset + 1)
	return nil
}

// advance sets the next offset and wakes up every Wait. The caller holds mu.
func (m *StateMachine) advance(next uint64) {
	m.next.Store(next)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *StateMachine) applyRecord(offset uint64, r record) {
	switch kind := r.message.GetKind().(type) {
	case *recordpb.Record_Edit:
		m.applyEdit(offset, kind.Edit)
	case *recordpb.Record_Claims:
		m.applyClaims(offset, kind.Claims)
	case *recordpb.Record_Lease:
		m.applyLease(offset, kind.Lease)
	case *recordpb.Record_Snapshot:
		m.checkSnapshot(offset, r)
	default:
		m.counters.Undecodable++
	}
}

func (m *StateMachine) applyEdit(offset uint64, p *recordpb.Edit) {
	edit, err := editFromProto(p)
	if err != nil || edit.ID == "" {
		m.counters.Undecodable++
		return
	}
	if _, duplicate := m.edits.byID[edit.ID]; duplicate {
		m.counters.DuplicateEdits++
		return
	}
	outcome := m.evaluateEdit(offset, edit)
	m.edits.add(outcome)
	m.hashes.edits.toggle(outcomeToProto(outcome))
	if outcome.Accepted {
		m.updateTables(offset, edit)
	}
}

// evaluateEdit decides whether an edit is accepted. It doesn't change the state.
func (m *StateMachine) evaluateEdit(offset uint64, edit table.Edit) EditOutcome {
	tables := m.tables.Load()
	name, isPool := edit.Target()
	outcome := EditOutcome{
		ID:      edit.ID,
		Offset:  offset,
		RowName: name,
		IsPool:  isPool,
		TimeMs:  m.logTimeMs,
		change:  digestChange(edit),
	}
	if current := tables.RevisionOf(edit); current != edit.BaseRevision {
		outcome.Conflict = true
		outcome.Reason = conflictReason(edit.BaseRevision, current)
		return outcome
	}
	if problems := tables.Check(edit); len(problems) > 0 {
		outcome.Reason = joinProblems(problems)
		return outcome
	}
	outcome.Accepted = true
	return outcome
}

func (m *StateMachine) updateTables(offset uint64, edit table.Edit) {
	before := m.tables.Load()
	after := before.WithChange(edit.Change, offset)
	m.toggleRowHash(before, edit)
	m.toggleRowHash(after, edit)
	m.tables.Store(after)
}

// toggleRowHash adds the row that an edit targets to the rows' hash, or removes it if
// it is included. It does nothing if the tables don't hold the row.
func (m *StateMachine) toggleRowHash(t *table.Tables, edit table.Edit) {
	name, isPool := edit.Target()
	if isPool {
		if row, ok := t.Pool(name); ok {
			m.hashes.rows.toggle(rowToProto(row))
		}
		return
	}
	if row, ok := t.Route(name); ok {
		m.hashes.rows.toggle(rowToProto(row))
	}
}

func (m *StateMachine) applyClaims(offset uint64, batch *recordpb.ClaimBatch) {
	for _, p := range batch.GetClaims() {
		claim, ok := claimFromProto(p)
		if !ok {
			m.counters.Undecodable++
			continue
		}
		claim.Offset = offset
		claim.TimeMs = m.logTimeMs
		if m.claims.add(claim) {
			m.hashes.claims.toggle(claimToProto(&claim))
		}
	}
}

// expire removes claims and edit outcomes that are older than their windows, and the
// oldest outcomes beyond the limit.
func (m *StateMachine) expire() {
	beforeMs := m.logTimeMs - m.config.EditWindow.Milliseconds()
	for _, o := range m.edits.expire(m.config.EditLimit, beforeMs) {
		m.hashes.edits.toggle(outcomeToProto(o))
	}
	beforeMs = m.logTimeMs - m.config.ClaimWindow.Milliseconds()
	for {
		claim, ok := m.claims.oldest()
		if !ok || claim.TimeMs >= beforeMs {
			return
		}
		m.claims.removeOldest()
		m.hashes.claims.toggle(claimToProto(&claim))
	}
}
