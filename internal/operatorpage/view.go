package operatorpage

import (
	"sequoiafork/internal/rowtext"
	"sequoiafork/internal/wire/operatorapi"
)

// messageView is the data of message.html.
type messageView struct {
	Message string
}

// homeView is the data of home.html: the health of the system and both tables.
type homeView struct {
	// TablesError describes why the tables can't be shown.
	TablesError string
	Process     process
	Revision    int64
	// AppliedDaemons is the number of NonDeadDaemons that have applied Revision.
	AppliedDaemons int
	Daemons        []operatorapi.Daemon
	// NonDeadDaemons is the number of Daemons that are not dead.
	NonDeadDaemons int
	Services       []service
	// NonLiveUpstreams are the upstreams that get no new work.
	NonLiveUpstreams []operatorapi.Upstream
	Routes           []rowView
	Pools            []rowView
}

// process is the part of the daemon's state dump that the page shows.
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

// rowView is a row of a table. Fields are its key=value fields.
type rowView struct {
	Name     string
	Revision int64
	Fields   []string
}

// kinds are the kinds of pools that the form offers.
var kinds = []string{"encoder", "retriever", "reranker", "engine", "service"}

// formView is the data of form.html: the form of one row and the errors in it.
type formView struct {
	// RowType is "pool" or "route".
	RowType string
	New     bool
	Form    form
	Kinds   []string
	Error   string
	Result  *operatorapi.EditResult
	// Confirm is the step that the confirm button sends. It is empty if the form has no
	// such button.
	Confirm step
	// CurrentRow is not set: a conflict is shown by result.html.
	CurrentRow *rowView
}

// resultView is the data of result.html: the outcome of an edit.
type resultView struct {
	RowType    string
	Name       string
	Result     *operatorapi.EditResult
	CurrentRow *rowView
}

// OutcomeUnknown reports whether the outcome of the edit has to be looked up.
func (v resultView) OutcomeUnknown() bool {
	return v.Result.State == operatorapi.EditResultStateUnknown || v.Result.State == operatorapi.EditResultStateNotFound
}

// MayChange reports whether looking the edit up later may show more: its outcome, or more
// daemons that have applied it.
func (v resultView) MayChange() bool {
	return v.OutcomeUnknown() || v.Result.State == operatorapi.EditResultStateAccepted
}

// currentRow returns the current row that the result of a conflict includes, or nil.
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
