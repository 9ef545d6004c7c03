package fold

import (
	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/recordpb"
)

// Apply folds the record at an offset. A record that was applied before is ignored,
// one that can't be decoded is counted and skipped. It returns a *GapError if the
// record isn't the next one.
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
	m.clockMs = max(m.clockMs, timeMs)
	m.applyRecord(offset, rec)
	m.expire()
	m.counters.Applied++
	m.digests.add(offset, m.digestLocked(offset), m.config.DigestWindow)
	m.advance(offset + 1)
	return nil
}

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
	if _, settled := m.edits.byID[edit.ID]; settled {
		m.counters.DuplicateEdits++
		return
	}
	outcome := m.settle(offset, edit)
	m.edits.add(outcome)
	m.sums.edits.toggle(outcomeToProto(outcome))
	if outcome.Accepted {
		m.changeTables(offset, edit)
	}
}

func (m *StateMachine) settle(offset uint64, edit table.Edit) EditOutcome {
	tables := m.tables.Load()
	name, pool := edit.Target()
	outcome := EditOutcome{
		ID:      edit.ID,
		Offset:  offset,
		RowName: name,
		IsPool:  pool,
		TimeMs:  m.clockMs,
		change:  digestChange(edit),
	}
	if now := tables.RevisionOf(edit); now != edit.BaseRevision {
		outcome.Conflict = true
		outcome.Reason = conflictReason(edit.BaseRevision, now)
		return outcome
	}
	if problems := tables.Check(edit); len(problems) > 0 {
		outcome.Reason = joinProblems(problems)
		return outcome
	}
	outcome.Accepted = true
	return outcome
}

func (m *StateMachine) changeTables(offset uint64, edit table.Edit) {
	before := m.tables.Load()
	after := before.WithChange(edit.Change, offset)
	m.toggleRow(before, edit)
	m.toggleRow(after, edit)
	m.tables.Store(after)
}

// toggleRow adds the row that an edit changes to the digest, or takes it out.
func (m *StateMachine) toggleRow(t *table.Tables, edit table.Edit) {
	name, pool := edit.Target()
	if pool {
		if row, ok := t.Pool(name); ok {
			m.sums.rows.toggle(rowToProto(row))
		}
		return
	}
	if row, ok := t.Route(name); ok {
		m.sums.rows.toggle(rowToProto(row))
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
		claim.TimeMs = m.clockMs
		if m.claims.add(claim) {
			m.sums.claims.toggle(claimToProto(&claim))
		}
	}
}

// expire forgets claims and outcomes that are older than their windows.
func (m *StateMachine) expire() {
	beforeMs := m.clockMs - m.config.EditWindow.Milliseconds()
	for _, o := range m.edits.expire(m.config.EditLimit, beforeMs) {
		m.sums.edits.toggle(outcomeToProto(o))
	}
	beforeMs = m.clockMs - m.config.ClaimWindow.Milliseconds()
	for {
		claim, ok := m.claims.oldest()
		if !ok || claim.TimeMs >= beforeMs {
			return
		}
		m.claims.removeOldest()
		m.sums.claims.toggle(claimToProto(&claim))
	}
}
