package confsync

import (
	"fmt"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/table"
)

// Lookup returns the outcome of an edit, NotFound if this daemon does not know it, or
// Unknown if this daemon appended it and has not read it back.
func (e *Editor) Lookup(id string) EditResult {
	if outcome, ok := e.machine.Edit(id); ok {
		return e.result(outcome)
	}
	if e.isUnresolved(id) {
		return unknownResult(id)
	}
	return EditResult{
		EditID:  id,
		State:   NotFound,
		Message: "no such edit was read here",
	}
}

// LookupEdit returns the outcome of an earlier submission of an edit, like Lookup. It is
// Refused if the edit's ID was used for another change.
func (e *Editor) LookupEdit(edit table.Edit) EditResult {
	if outcome, ok := e.machine.Edit(edit.ID); ok {
		return e.resolvedResult(edit, outcome)
	}
	return e.Lookup(edit.ID)
}

// resolvedResult returns the result of an edit that was read back. It rejects an edit
// whose ID was used for another change.
func (e *Editor) resolvedResult(edit table.Edit, outcome fold.EditOutcome) EditResult {
	if outcome.Matches(edit) {
		return e.result(outcome)
	}
	return refusedResult(edit.ID, []table.Problem{{
		Field:   "edit_id",
		Message: fmt.Sprintf("%q was used for another change of row %q: take a new ID", edit.ID, outcome.RowName),
	}})
}

func (e *Editor) result(o fold.EditOutcome) EditResult {
	tables := e.machine.Tables()
	result := EditResult{
		EditID:  o.ID,
		Message: o.Reason,
	}
	switch {
	case o.Accepted:
		result.State = Accepted
		result.Revision = o.Offset
		result.Message = fmt.Sprintf("accepted, revision %d", o.Offset)
	case o.Conflict:
		result.State = Conflict
	default:
		result.State = Refused
		result.Problems = []table.Problem{{
			Message: o.Reason,
		}}
	}
	return result.withRow(tables, o.RowName, o.IsPool)
}

func refusedResult(id string, problems []table.Problem) EditResult {
	return EditResult{
		EditID:   id,
		State:    Refused,
		Message:  problems[0].String(),
		Problems: problems,
	}
}

func unknownResult(id string) EditResult {
	return EditResult{
		EditID:  id,
		State:   Unknown,
		Message: "unknown, check edit " + id,
	}
}
