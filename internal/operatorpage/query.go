package operatorpage

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"sequoiafork/internal/rowtext"
	"sequoiafork/internal/wire/operatorapi"
)

// States of daemons and upstreams in the operator API.
const (
	stateDead = "dead"
	stateLive = "live"
)

// home shows the health of the system and both tables. It shows the health also while the
// daemon has no tables yet.
func (p *page) home(w http.ResponseWriter, r *http.Request) {
	view := homeView{}
	if err := p.readHealth(r.Context(), &view); err != nil {
		p.renderError(r.Context(), w, err)
		return
	}
	if err := p.readTables(r.Context(), &view); err != nil {
		view.TablesError = p.api.NewError(r.Context(), err).Response.Message
	}
	render(w, http.StatusOK, "home.html", view)
}

func (p *page) readHealth(ctx context.Context, view *homeView) error {
	hosts, err := p.api.ListHosts(ctx)
	if err != nil {
		return err
	}
	dump, err := p.api.DumpState(ctx)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(dump, &view.Process); err != nil {
		return err
	}
	view.Daemons = hosts.Daemons
	view.Services = countServices(hosts.Upstreams)
	for _, u := range hosts.Upstreams {
		if u.State != stateLive {
			view.NonLiveUpstreams = append(view.NonLiveUpstreams, u)
		}
	}
	return nil
}

func countServices(upstreams []operatorapi.Upstream) []service {
	byName := map[string]*service{}
	for _, u := range upstreams {
		s := byName[u.Service]
		if s == nil {
			s = &service{
				Name: u.Service,
			}
			byName[u.Service] = s
		}
		s.Total++
		if u.State == stateLive {
			s.Live++
		}
	}
	services := make([]service, 0, len(byName))
	for _, s := range byName {
		services = append(services, *s)
	}
	slices.SortFunc(services, func(a, b service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

func (p *page) readTables(ctx context.Context, view *homeView) error {
	routes, err := p.api.ListRoutes(ctx)
	if err != nil {
		return err
	}
	pools, err := p.api.ListPools(ctx)
	if err != nil {
		return err
	}
	for _, row := range routes.Rows {
		view.Routes = append(view.Routes, rowView{
			Name:     row.Name,
			Revision: row.Revision,
			Fields:   rowtext.FormatRoute(row.Route),
		})
	}
	for _, row := range pools.Rows {
		view.Pools = append(view.Pools, rowView{
			Name:     row.Name,
			Revision: row.Revision,
			Fields:   rowtext.FormatPool(row.Pool),
		})
	}
	view.Revision = pools.Revision
	for _, d := range view.Daemons {
		if d.State == stateDead {
			continue
		}
		view.NonDeadDaemons++
		if d.Revision >= view.Revision {
			view.AppliedDaemons++
		}
	}
	return nil
}

// pool shows the form of a pool. Without a name it shows the form of a new pool.
func (p *page) pool(w http.ResponseWriter, r *http.Request) {
	view := newFormView(poolRowType)
	if name := r.URL.Query().Get("name"); name != "" {
		row, err := p.api.ShowPool(r.Context(), operatorapi.ShowPoolParams{
			Name: name,
		})
		if err != nil {
			p.renderError(r.Context(), w, err)
			return
		}
		view.New = false
		view.Form = poolForm(*row)
	}
	render(w, http.StatusOK, "form.html", view)
}

// route shows the form of a route. Without a name it shows the form of a new route.
func (p *page) route(w http.ResponseWriter, r *http.Request) {
	view := newFormView(routeRowType)
	if name := r.URL.Query().Get("name"); name != "" {
		row, err := p.api.ShowRoute(r.Context(), operatorapi.ShowRouteParams{
			Name: name,
		})
		if err != nil {
			p.renderError(r.Context(), w, err)
			return
		}
		view.New = false
		view.Form = routeForm(*row)
	}
	render(w, http.StatusOK, "form.html", view)
}

// edit shows the outcome of an edit, as far as this daemon has read the log.
func (p *page) edit(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	result, err := p.api.ShowEdit(r.Context(), operatorapi.ShowEditParams{
		EditID: query.Get("id"),
	})
	if err != nil {
		p.renderError(r.Context(), w, err)
		return
	}
	rowType := poolRowType
	if query.Get("noun") == routeRowType {
		rowType = routeRowType
	}
	render(w, http.StatusOK, "result.html", resultView{
		RowType:    rowType,
		Name:       query.Get("name"),
		Result:     result,
		CurrentRow: currentRow(result),
	})
}
