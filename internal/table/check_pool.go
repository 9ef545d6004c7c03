package table

import (
	"cmp"
	"fmt"
	"slices"
)

func validatePool(p *problems, pool Pool) {
	p.checkName("name", pool.Name)
	p.checkName("service", pool.Service)
	p.checkRange("concurrency", pool.Concurrency, 1, MaxConcurrency)
	if !pool.Kind.valid() {
		p.add("kind", "is unknown: use encoder, retriever, reranker, engine or service")
	}
	validateShares(p, pool.Shares)
	validateModels(p, pool)
}

func validateShares(p *problems, shares []Share) {
	if len(shares) > MaxShares {
		p.add("shares", "has %d shares: use at most %d", len(shares), MaxShares)
		return
	}
	seen := make(map[string]bool, len(shares))
	for i, s := range shares {
		field := fmt.Sprintf("shares[%d]", i)
		p.checkName(field+".workspace", s.Workspace)
		p.checkRange(field+".weight", s.Weight, 1, MaxWeight)
		if seen[s.Workspace] {
			p.add(field+".workspace", "%q is listed twice: keep one share", s.Workspace)
		}
		seen[s.Workspace] = true
	}
}

func validateModels(p *problems, pool Pool) {
	if pool.Kind == KindEngine && len(pool.Models) == 0 {
		p.add("models", "is empty: a pool of engines needs at least one model")
	}
	if len(pool.Models) > MaxModels {
		p.add("models", "has %d models: use at most %d", len(pool.Models), MaxModels)
		return
	}
	for i, m := range pool.Models {
		field := fmt.Sprintf("models[%d]", i)
		p.checkModelName(field, m)
		if slices.Contains(pool.Models[:i], m) {
			p.add(field, "%q is listed twice: keep one", m)
		}
	}
}

// checkDependentRoutes adds a problem for each stage that uses the pool and whose model
// the changed pool would not serve.
func (t *Tables) checkDependentRoutes(p *problems, pool Pool) {
	for _, r := range t.routesUsing(pool.Name) {
		for _, s := range r.Stages {
			if s.Pool != pool.Name {
				continue
			}
			var stageProblems problems
			checkModel(&stageProblems, "", s, pool)
			if len(stageProblems) > 0 {
				p.add("models", "route %q stage %q needs model %q: edit that route first", r.Name, s.Name, s.Model)
			}
		}
	}
}

// checkUnused adds a problem for each route that uses the pool.
func (t *Tables) checkUnused(p *problems, name string) {
	for _, r := range t.routesUsing(name) {
		p.add("name", "pool %q is used by route %q: edit or delete that route first", name, r.Name)
	}
}

// routesUsing returns the routes that have a stage on the pool, sorted by name.
func (t *Tables) routesUsing(name string) []Route {
	var routes []Route
	for row := range t.routes.all() {
		if slices.ContainsFunc(row.Value.Stages, func(s Stage) bool { return s.Pool == name }) {
			routes = append(routes, row.Value)
		}
	}
	slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	return routes
}
