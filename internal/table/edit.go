package table

// Edit is a request to create, replace or delete one row.
type Edit struct {
	// ID identifies the edit. Of several edits with one ID, only the first is applied.
	ID     string
	Author string
	// BaseRevision is the revision of the row that the edit is based on. The edit
	// conflicts if the row has another one. Zero means that the row must not exist.
	BaseRevision uint64
	Change       Change
}

// Change is the operation of an edit: SetRoute, DeleteRoute, SetPool or DeletePool.
type Change interface {
	change()
}

// SetRoute creates or replaces a route.
type SetRoute struct {
	Route Route
}

// DeleteRoute removes a route.
type DeleteRoute struct {
	Name string
}

// SetPool creates or replaces a pool.
type SetPool struct {
	Pool Pool
}

// DeletePool removes a pool.
type DeletePool struct {
	Name string
}

func (SetRoute) change()    {}
func (DeleteRoute) change() {}
func (SetPool) change()     {}
func (DeletePool) change()  {}

// Target returns the name of the row that the edit changes, and reports whether the
// row is a pool.
func (e Edit) Target() (name string, isPool bool) {
	switch c := e.Change.(type) {
	case SetRoute:
		return c.Route.Name, false
	case DeleteRoute:
		return c.Name, false
	case SetPool:
		return c.Pool.Name, true
	case DeletePool:
		return c.Name, true
	}
	return "", false
}
