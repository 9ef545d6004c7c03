package operatorpage

import (
	"sequoiafork/internal/rowtext"
	"sequoiafork/internal/wire/operatorapi"
)

// messageView is a page with one message.
type messageView struct {
	Message string
}

// homeView is health and both tables.
type homeView struct {
	// Problem says why the tables can't be shown.
	TablesError    string
	Process        process
	Revision       int64
	AppliedDaemons int
	Daemons        []operatorapi.Daemon
	LiveDaemons    int
	Services       []service
	// Troubled are the upstreams that take no new work.
	NonLiveUpstreams []operatorapi.Upstream
	Routes           []rowView
	Pools            []rowView
}

// process is the part of the dump that the page shows.
type process struct {
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	State       string `json:"state"`
	Ready       bool   `json:"ready"`
	InFlight    int    `json:"in_flight"`
}

// service counts the upstreams of one service.
type service struct {
	Name  string
	Live  int
	Total int
}

// rowView is one row of a table as words.
type rowView struct {
	Name     string
	Revision int64
	Fields   []string
}

// kinds are the kinds of pools in a form.
var kinds = []string{"encoder", "retriever", "reranker", "engine", "service"}

// formView is a form of one row with what is wrong with it.
type formView struct {
	// Noun is "pool" or "route".
	RowType string
	New     bool
	Form    form
	Kinds   []string
	Error   string
	Result  *operatorapi.EditResult
	// Confirm is the step that the confirm button sends; empty without one.
	Confirm step
	// Now is the row that stands in the way of the edit.
	CurrentRow *rowView
}

// resultView is how an edit was settled.
type resultView struct {
	RowType    string
	Name       string
	Result     *operatorapi.EditResult
	CurrentRow *rowView
}

// Unsettled reports whether the edit must be looked up.
func (v resultView) OutcomeUnknown() bool {
	return v.Result.State == operatorapi.EditResultStateUnknown || v.Result.State == operatorapi.EditResultStateNotFound
}

// Followed reports whether a later look may say more.
func (v resultView) MayChange() bool {
	return v.OutcomeUnknown() || v.Result.State == operatorapi.EditResultStateAccepted
}

// rowNow returns the row that an edit's result holds.
func currentRow(r *operatorapi.EditResult) *rowView {
	if pool, ok := r.PoolNow.Get(); ok {
		return &rowView{
			Name:     pool.Name,
			Revision: pool.Revision,
			Fields:   rowtext.FormatPool(pool.Pool),
		}
	}
	if route, ok := r.RouteNow.Get(); ok {
		return &rowView{
			Name:     route.Name,
			Revision: route.Revision,
			Fields:   rowtext.FormatRoute(route.Route),
		}
	}
	return nil
}
