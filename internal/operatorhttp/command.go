package operatorhttp

import (
	"context"
	"fmt"
	"time"

	"sequoiafork/internal/editid"
	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/operatorapi"
)

// propagationPollInterval is the interval at which waitApplied counts the daemons that
// have applied an edit.
const propagationPollInterval = 20 * time.Millisecond

// SetRoute creates or replaces a route.
func (h *Handler) SetRoute(ctx context.Context, req *operatorapi.RouteSpec, params operatorapi.SetRouteParams) (*operatorapi.EditResult, error) {
	return h.edit(ctx, editRequest{
		edit: table.Edit{
			ID:           params.EditID.Or(""),
			Author:       params.Author.Or(""),
			BaseRevision: uint64(params.BaseRevision),
			Change: table.SetRoute{
				Route: RouteFromSpec(params.Name, req),
			},
		},
		dryRun: params.DryRun.Or(false),
	})
}

// DeleteRoute removes a route.
func (h *Handler) DeleteRoute(ctx context.Context, params operatorapi.DeleteRouteParams) (*operatorapi.EditResult, error) {
	return h.edit(ctx, editRequest{
		edit: table.Edit{
			ID:           params.EditID.Or(""),
			Author:       params.Author.Or(""),
			BaseRevision: uint64(params.BaseRevision),
			Change: table.DeleteRoute{
				Name: params.Name,
			},
		},
		dryRun: params.DryRun.Or(false),
	})
}

// SetPool creates or replaces a pool.
func (h *Handler) SetPool(ctx context.Context, req *operatorapi.PoolSpec, params operatorapi.SetPoolParams) (*operatorapi.EditResult, error) {
	return h.edit(ctx, editRequest{
		edit: table.Edit{
			ID:           params.EditID.Or(""),
			Author:       params.Author.Or(""),
			BaseRevision: uint64(params.BaseRevision),
			Change: table.SetPool{
				Pool: PoolFromSpec(params.Name, req),
			},
		},
		dryRun: params.DryRun.Or(false),
	})
}

// DeletePool removes a pool.
func (h *Handler) DeletePool(ctx context.Context, params operatorapi.DeletePoolParams) (*operatorapi.EditResult, error) {
	return h.edit(ctx, editRequest{
		edit: table.Edit{
			ID:           params.EditID.Or(""),
			Author:       params.Author.Or(""),
			BaseRevision: uint64(params.BaseRevision),
			Change: table.DeletePool{
				Name: params.Name,
			},
		},
		dryRun: params.DryRun.Or(false),
	})
}

// Drain starts the graceful shutdown of this daemon.
func (h *Handler) Drain(context.Context) (*operatorapi.DrainState, error) {
	state := h.config.Drainer.Drain()
	return &state, nil
}

// editRequest is an edit as the operator requested it.
type editRequest struct {
	edit   table.Edit
	dryRun bool
}

func (h *Handler) edit(ctx context.Context, req editRequest) (*operatorapi.EditResult, error) {
	tables, err := h.tables()
	if err != nil {
		return nil, err
	}
	if req.edit.ID == "" {
		req.edit.ID = editid.New()
	} else if result, ok := h.earlierResult(ctx, req); ok {
		return result, nil
	}
	if result := h.precheck(tables, req); result != nil {
		return result, nil
	}
	if req.dryRun {
		return &operatorapi.EditResult{
			EditID:  req.edit.ID,
			State:   operatorapi.EditResultStateDryRun,
			Message: tables.Describe(req.edit),
		}, nil
	}
	status, err := h.config.Editor.Submit(ctx, req.edit)
	if err != nil {
		return nil, err
	}
	status.Name, status.IsPool = req.edit.Target()
	if status.State == Accepted {
		h.waitApplied(ctx, status.Revision)
	}
	return h.editResult(req.edit.ID, status), nil
}

// waitApplied waits until all daemons have applied the revision, but no longer than
// Config.PropagationTimeout.
func (h *Handler) waitApplied(ctx context.Context, revision uint64) {
	if h.config.PropagationTimeout < 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.config.PropagationTimeout)
	defer cancel()
	ticker := time.NewTicker(propagationPollInterval)
	defer ticker.Stop()
	for {
		applied, daemons := h.countApplied(revision)
		if applied == daemons {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// earlierResult returns the result of an earlier edit with the same ID. If that edit
// was another change, the result rejects the request.
func (h *Handler) earlierResult(ctx context.Context, req editRequest) (*operatorapi.EditResult, bool) {
	if req.dryRun {
		return nil, false
	}
	status, err := h.config.Editor.LookupEdit(ctx, req.edit)
	if err != nil || status.State == NotFound {
		return nil, false
	}
	name, pool := req.edit.Target()
	if status.Name != "" && (status.Name != name || status.IsPool != pool) {
		status = EditStatus{
			State: Refused,
			Problems: []table.Problem{
				{
					Field:   "edit_id",
					Message: fmt.Sprintf("was used for row %q: take a new ID", status.Name),
				},
			},
		}
	}
	return h.editResult(req.edit.ID, status), true
}

// precheck returns a result for an edit that conflicts with these tables or is
// invalid. Such an edit is not appended to the log. It returns nil for other edits.
func (h *Handler) precheck(tables *table.Tables, req editRequest) *operatorapi.EditResult {
	name, pool := req.edit.Target()
	status := EditStatus{
		Name:   name,
		IsPool: pool,
	}
	// A daemon that has not applied the base revision yet can't tell whether the edit
	// conflicts. That is decided when the edit's log record is applied.
	revision := tables.RevisionOf(req.edit)
	stale := revision != req.edit.BaseRevision && req.edit.BaseRevision <= tables.Revision()
	problems := tables.Check(req.edit)
	switch {
	case stale:
		status.State = Conflict
	case len(problems) > 0:
		status.State = Refused
		status.Problems = problems
	default:
		return nil
	}
	return h.editResult(req.edit.ID, status)
}
