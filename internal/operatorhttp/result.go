package operatorhttp

import (
	"fmt"

	"sequoiafork/internal/wire/operatorapi"
)

// stateDead is the wire state of a dead daemon. It is not counted among the daemons that
// have to apply an edit.
const stateDead = "dead"

var wireStates = map[EditState]operatorapi.EditResultState{
	NotFound: operatorapi.EditResultStateNotFound,
	Accepted: operatorapi.EditResultStateAccepted,
	Conflict: operatorapi.EditResultStateConflict,
	Refused:  operatorapi.EditResultStateRefused,
	Unknown:  operatorapi.EditResultStateUnknown,
}

// editResult converts the outcome of an edit to its wire format. The result of a conflict
// includes the current row.
func (h *Handler) editResult(id string, s EditStatus) *operatorapi.EditResult {
	result := &operatorapi.EditResult{
		EditID:   id,
		State:    wireStates[s.State],
		Problems: wireProblems(s.Problems),
	}
	switch s.State {
	case Accepted:
		applied, daemons := h.countApplied(s.Revision)
		result.Revision = operatorapi.NewOptInt64(int64(s.Revision))
		result.InForce = operatorapi.NewOptInt(applied)
		result.Daemons = operatorapi.NewOptInt(daemons)
		result.Message = fmt.Sprintf("in force on %d of %d daemons", applied, daemons)
	case Conflict:
		result.Message = h.conflictMessage(result, s)
	case Refused:
		result.Message = refusedMessage(s)
	case Unknown:
		result.Message = "may be accepted: check edit " + id
	case NotFound:
		result.Message = "not read so far: ask again later"
	}
	return result
}

// conflictMessage describes a conflict and sets the current row of result.
func (h *Handler) conflictMessage(result *operatorapi.EditResult, s EditStatus) string {
	tables := h.config.Tables.Tables()
	if s.IsPool {
		if row, ok := tables.Pool(s.Name); ok {
			result.PoolNow = operatorapi.NewOptPoolRow(poolRow(row))
			return fmt.Sprintf("pool %s is now at revision %d", s.Name, row.Revision)
		}
		return fmt.Sprintf("there is no pool %s now", s.Name)
	}
	if row, ok := tables.Route(s.Name); ok {
		result.RouteNow = operatorapi.NewOptRouteRow(routeRow(row))
		return fmt.Sprintf("route %s is now at revision %d", s.Name, row.Revision)
	}
	return fmt.Sprintf("there is no route %s now", s.Name)
}

func refusedMessage(s EditStatus) string {
	switch {
	case s.Reason != "":
		return s.Reason
	case len(s.Problems) == 1:
		return s.Problems[0].String()
	default:
		return fmt.Sprintf("%d problems", len(s.Problems))
	}
}

// countApplied returns the number of daemons that have applied the revision, and the
// number of all daemons that are not dead.
func (h *Handler) countApplied(revision uint64) (applied, daemons int) {
	for _, d := range h.config.Hosts.Daemons() {
		if d.State == stateDead {
			continue
		}
		daemons++
		if uint64(d.Revision) >= revision {
			applied++
		}
	}
	return applied, daemons
}
