package table

import (
	"cmp"
	"slices"
)

// Tables is one state of both tables. It is immutable: edits make a new one. The
// zero value is empty. Callers must not change slices that it returns.
type Tables struct {
	routes   map[string]RouteRow
	pools    map[string]PoolRow
	revision uint64
}

// New returns empty tables.
func New() *Tables {
	return &Tables{}
}

// Route returns the route with the given name.
func (t *Tables) Route(name string) (RouteRow, bool) {
	row, ok := t.routes[name]
	return row, ok
}

// Pool returns the pool with the given name.
func (t *Tables) Pool(name string) (PoolRow, bool) {
	row, ok := t.pools[name]
	return row, ok
}

// Routes returns all routes, sorted by name.
func (t *Tables) Routes() []RouteRow {
	rows := make([]RouteRow, 0, len(t.routes))
	for _, row := range t.routes {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b RouteRow) int { return cmp.Compare(a.Value.Name, b.Value.Name) })
	return rows
}

// Pools returns all pools, sorted by name.
func (t *Tables) Pools() []PoolRow {
	rows := make([]PoolRow, 0, len(t.pools))
	for _, row := range t.pools {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b PoolRow) int { return cmp.Compare(a.Value.Name, b.Value.Name) })
	return rows
}

// Revision returns the offset of the last edit that changed a row, also when it
// deleted one.
func (t *Tables) Revision() uint64 {
	return t.revision
}

// RevisionOf returns the revision of the row that the edit changes, or zero if
// there is none.
func (t *Tables) RevisionOf(e Edit) uint64 {
	name, pool := e.Target()
	if pool {
		return t.pools[name].Revision
	}
	return t.routes[name].Revision
}
