package table

// Edit asks for one change of one row.
type Edit struct {
	// ID identifies the edit; an ID counts once.
	ID     string
	Author string
	// BaseRevision is the row's revision that the edit was made against. Zero
	// means that the row must not exist.
	BaseRevision uint64
	Change       Change
}

// Change is what an edit does: SetRoute, DeleteRoute, SetPool or DeletePool.
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

// Target returns the name of the row that the edit changes, and whether the row
// is a pool.
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
