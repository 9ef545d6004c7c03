package table

// Tables is a version of both tables. It is immutable: an edit creates a new version. The
// zero value is empty. Callers must not modify the slices in rows that it returns.
type Tables struct {
	routes   *rowSet[Route]
	pools    *rowSet[Pool]
	revision uint64
}

// New returns empty tables.
func New() *Tables {
	return &Tables{}
}

// Route returns the route with the given name.
func (t *Tables) Route(name string) (RouteRow, bool) {
	return t.routes.get(name)
}

// Pool returns the pool with the given name.
func (t *Tables) Pool(name string) (PoolRow, bool) {
	return t.pools.get(name)
}

// Routes returns all routes, sorted by name.
func (t *Tables) Routes() []RouteRow {
	return t.routes.sorted(routeName)
}

// Pools returns all pools, sorted by name.
func (t *Tables) Pools() []PoolRow {
	return t.pools.sorted(poolName)
}

// Revision returns the offset of the last edit that set or deleted a row.
func (t *Tables) Revision() uint64 {
	return t.revision
}

// RevisionOf returns the revision of the row that the edit changes, or zero if
// the row doesn't exist.
func (t *Tables) RevisionOf(e Edit) uint64 {
	name, isPool := e.Target()
	if isPool {
		row, _ := t.pools.get(name)
		return row.Revision
	}
	row, _ := t.routes.get(name)
	return row.Revision
}

func routeName(r Route) string { return r.Name }

func poolName(p Pool) string { return p.Name }
