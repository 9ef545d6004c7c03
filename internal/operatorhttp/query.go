package operatorhttp

import (
	"context"

	"github.com/go-faster/jx"

	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/operatorapi"
)

// ListRoutes returns all routes.
func (h *Handler) ListRoutes(context.Context) (*operatorapi.RouteList, error) {
	tables, err := h.tables()
	if err != nil {
		return nil, err
	}
	list := &operatorapi.RouteList{
		Revision: int64(tables.Revision()),
		Rows:     []operatorapi.RouteRow{},
	}
	for _, row := range tables.Routes() {
		list.Rows = append(list.Rows, routeRow(row))
	}
	return list, nil
}

// ListPools returns all pools.
func (h *Handler) ListPools(context.Context) (*operatorapi.PoolList, error) {
	tables, err := h.tables()
	if err != nil {
		return nil, err
	}
	list := &operatorapi.PoolList{
		Revision: int64(tables.Revision()),
		Rows:     []operatorapi.PoolRow{},
	}
	for _, row := range tables.Pools() {
		list.Rows = append(list.Rows, poolRow(row))
	}
	return list, nil
}

// ShowRoute returns one route.
func (h *Handler) ShowRoute(_ context.Context, params operatorapi.ShowRouteParams) (*operatorapi.RouteRow, error) {
	tables, err := h.tables()
	if err != nil {
		return nil, err
	}
	row, ok := tables.Route(params.Name)
	if !ok {
		return nil, &NotFoundError{
			RowType: "route",
			Name:    params.Name,
		}
	}
	wireRow := routeRow(row)
	return &wireRow, nil
}

// ShowPool returns one pool.
func (h *Handler) ShowPool(_ context.Context, params operatorapi.ShowPoolParams) (*operatorapi.PoolRow, error) {
	tables, err := h.tables()
	if err != nil {
		return nil, err
	}
	row, ok := tables.Pool(params.Name)
	if !ok {
		return nil, &NotFoundError{
			RowType: "pool",
			Name:    params.Name,
		}
	}
	wireRow := poolRow(row)
	return &wireRow, nil
}

// ShowEdit returns the outcome of an edit, as far as this daemon has read the log.
func (h *Handler) ShowEdit(ctx context.Context, params operatorapi.ShowEditParams) (*operatorapi.EditResult, error) {
	status, err := h.config.Editor.Lookup(ctx, params.EditID)
	if err != nil {
		return nil, err
	}
	return h.editResult(params.EditID, status), nil
}

// ListHosts returns the daemons and upstreams that this daemon knows.
func (h *Handler) ListHosts(context.Context) (*operatorapi.HostList, error) {
	list := &operatorapi.HostList{
		Daemons:   h.config.Hosts.Daemons(),
		Upstreams: h.config.Hosts.Upstreams(),
	}
	if list.Daemons == nil {
		list.Daemons = []operatorapi.Daemon{}
	}
	if list.Upstreams == nil {
		list.Upstreams = []operatorapi.Upstream{}
	}
	return list, nil
}

// DumpState returns the state of this process.
func (h *Handler) DumpState(context.Context) (jx.Raw, error) {
	return h.config.Dumper.Dump()
}

func (h *Handler) tables() (*table.Tables, error) {
	if !h.config.Tables.Ready() {
		return nil, &NotReadyError{}
	}
	return h.config.Tables.Tables(), nil
}
