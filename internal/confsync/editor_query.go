package confsync

import (
	"fmt"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/table"
)

// DryRun says what an edit would do on the tables as they are here.
func (e *Editor) DryRun(edit table.Edit) (Result, error) {
	if !e.machine.Ready() {
		return Result{}, &NotReadyError{}
	}
	if result, ok := e.reject(edit); ok {
		return result, nil
	}
	tables := e.machine.Tables()
	name, pool := edit.Target()
	result := Result{
		EditID:  edit.ID,
		State:   DryRun,
		Message: tables.Describe(edit),
	}
	return result.withRow(tables, name, pool), nil
}

// Edit returns how an edit was settled, NotFound if it is not known here, and
// Unknown if this daemon appended it and has not read it back.
func (e *Editor) Edit(id string) Result {
	if outcome, ok := e.machine.Edit(id); ok {
		return e.result(outcome)
	}
	if e.isUnsettled(id) {
		return unknownResult(id)
	}
	return Result{
		EditID:  id,
		State:   NotFound,
		Message: "no such edit was read here",
	}
}

// reject returns the result of an edit that the tables as they are refuse.
func (e *Editor) reject(edit table.Edit) (Result, bool) {
	tables := e.machine.Tables()
	name, pool := edit.Target()
	if now := tables.RevisionOf(edit); now != edit.BaseRevision {
		result := Result{
			EditID:  edit.ID,
			State:   Conflict,
			Message: conflictMessage(now),
		}
		return result.withRow(tables, name, pool), true
	}
	problems := tables.Check(edit)
	if len(problems) == 0 {
		return Result{}, false
	}
	return refusedResult(edit.ID, problems), true
}

// settled returns the result of an edit that was read back. An ID that was used for
// another row is refused.
func (e *Editor) settled(edit table.Edit, outcome fold.EditOutcome) Result {
	name, pool := edit.Target()
	if name == outcome.Name && pool == outcome.Pool {
		return e.result(outcome)
	}
	return refusedResult(edit.ID, []table.Problem{{
		Field:   "edit_id",
		Message: fmt.Sprintf("%q was used for row %q: take a new ID", edit.ID, outcome.Name),
	}})
}

func (e *Editor) result(o fold.EditOutcome) Result {
	tables := e.machine.Tables()
	result := Result{
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
	return result.withRow(tables, o.Name, o.Pool)
}

func refusedResult(id string, problems []table.Problem) Result {
	return Result{
		EditID:   id,
		State:    Refused,
		Message:  problems[0].String(),
		Problems: problems,
	}
}

func conflictMessage(now uint64) string {
	if now == 0 {
		return "conflict: the row does not exist now"
	}
	return fmt.Sprintf("conflict: the row is now at revision %d", now)
}

func unknownResult(id string) Result {
	return Result{
		EditID:  id,
		State:   Unknown,
		Message: "unknown, check edit " + id,
	}
}
