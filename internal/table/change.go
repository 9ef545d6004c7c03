package table

import "maps"

// WithChange returns the tables after a change at the given revision. It does not
// check the change.
func (t *Tables) WithChange(change Change, revision uint64) *Tables {
	next := *t
	next.revision = revision
	switch c := change.(type) {
	case SetRoute:
		next.routes = withRow(t.routes, c.Route.Name, c.Route, revision)
	case DeleteRoute:
		next.routes = withoutRow(t.routes, c.Name)
	case SetPool:
		next.pools = withRow(t.pools, c.Pool.Name, c.Pool, revision)
	case DeletePool:
		next.pools = withoutRow(t.pools, c.Name)
	}
	return &next
}

// WithRows returns tables that hold exactly the given rows.
func (t *Tables) WithRows(routes []RouteRow, pools []PoolRow, revision uint64) *Tables {
	next := &Tables{
		routes:   make(map[string]RouteRow, len(routes)),
		pools:    make(map[string]PoolRow, len(pools)),
		revision: revision,
	}
	for _, row := range routes {
		next.routes[row.Value.Name] = row
	}
	for _, row := range pools {
		next.pools[row.Value.Name] = row
	}
	return next
}

func withRow[T any](rows map[string]Row[T], name string, value T, revision uint64) map[string]Row[T] {
	next := maps.Clone(rows)
	if next == nil {
		next = make(map[string]Row[T], 1)
	}
	next[name] = Row[T]{
		Value:    value,
		Revision: revision,
	}
	return next
}

func withoutRow[T any](rows map[string]Row[T], name string) map[string]Row[T] {
	next := maps.Clone(rows)
	delete(next, name)
	return next
}
