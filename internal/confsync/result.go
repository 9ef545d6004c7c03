package confsync

import "sequoiafork/internal/table"

// EditState is the outcome of an edit as far as this daemon knows it.
type EditState int

// Outcomes of an edit.
const (
	// Unknown means that the edit may have been appended to the log, but this daemon
	// doesn't know its outcome.
	Unknown EditState = iota
	Accepted
	// Conflict means that the row has changed since the edit's base revision.
	Conflict
	Refused
	// NotFound means that this daemon knows no edit with the ID.
	NotFound
)

var stateNames = [...]string{
	Unknown:  "unknown",
	Accepted: "accepted",
	Conflict: "conflict",
	Refused:  "refused",
	NotFound: "not_found",
}

// String returns the state's name in snake case.
func (s EditState) String() string {
	return stateNames[s]
}

// EditResult is what an Editor reports about an edit.
type EditResult struct {
	EditID string
	State  EditState
	// Message is short enough for the screen of a phone.
	Message string
	// Revision is the row's revision if the edit was accepted.
	Revision uint64
	// CurrentRoute or CurrentPool is the current row, if it exists.
	CurrentRoute *table.RouteRow
	CurrentPool  *table.PoolRow
	Problems     []table.Problem
}

// withRow returns the result with the current row.
func (r EditResult) withRow(t *table.Tables, name string, pool bool) EditResult {
	if pool {
		if row, ok := t.Pool(name); ok {
			r.CurrentPool = &row
		}
		return r
	}
	if row, ok := t.Route(name); ok {
		r.CurrentRoute = &row
	}
	return r
}
