package operatorhttp

import (
	"context"
	"fmt"
	"time"

	"sequoiafork/internal/editid"
	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/operatorapi"
)

// inForceInterval is the time between two counts of the daemons that follow.
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

// Drain starts the graceful stop of this daemon.
func (h *Handler) Drain(context.Context) (*operatorapi.DrainState, error) {
	state := h.config.Drainer.Drain()
	return &state, nil
}

// editRequest is one edit as it was asked for.
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
	status.Name, status.Pool = req.edit.Target()
	if status.State == Accepted {
		h.waitApplied(ctx, status.Revision)
	}
	return h.editResult(req.edit.ID, status), nil
}

// waitInForce waits a little until the revision is in force on all daemons.
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

// earlier returns the result of an edit that was sent before with the same ID. An
// ID that was used for another row is refused.
func (h *Handler) earlierResult(ctx context.Context, req editRequest) (*operatorapi.EditResult, bool) {
	if req.dryRun {
		return nil, false
	}
	status, err := h.config.Editor.Lookup(ctx, req.edit.ID)
	if err != nil || status.State == NotFound {
		return nil, false
	}
	name, pool := req.edit.Target()
	if status.Name != "" && (status.Name != name || status.Pool != pool) {
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

// refusal returns a result for an edit that can't be accepted on these tables.
// Nothing is appended for it.
func (h *Handler) precheck(tables *table.Tables, req editRequest) *operatorapi.EditResult {
	name, pool := req.edit.Target()
	status := EditStatus{
		Name: name,
		Pool: pool,
	}
	// A daemon that lags behind the base revision can't judge it.
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
