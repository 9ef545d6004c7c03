package table

// WithChange returns the tables after a change, with the given revision. It doesn't
// validate the change.
func (t *Tables) WithChange(change Change, revision uint64) *Tables {
	next := *t
	next.revision = revision
	switch c := change.(type) {
	case SetRoute:
		next.routes = t.routes.with(c.Route.Name, RouteRow{
			Value:    c.Route,
			Revision: revision,
		})
	case DeleteRoute:
		next.routes = t.routes.without(c.Name)
	case SetPool:
		next.pools = t.pools.with(c.Pool.Name, PoolRow{
			Value:    c.Pool,
			Revision: revision,
		})
	case DeletePool:
		next.pools = t.pools.without(c.Name)
	}
	return &next
}

// WithRows returns tables that hold exactly the given rows.
func (t *Tables) WithRows(routes []RouteRow, pools []PoolRow, revision uint64) *Tables {
	return &Tables{
		routes:   newRowSet(routes, routeName),
		pools:    newRowSet(pools, poolName),
		revision: revision,
	}
}
