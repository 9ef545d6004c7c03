// Package placement decides which models each engine, that is, model server, should
// load. It does no I/O: the holder of the placement lease passes in what the engines have
// loaded and sends them the assignments that Next returns.
package placement

import (
	"cmp"
	"slices"
)

// Engine is the last known state of one engine.
type Engine struct {
	Addr string
	// LoadedModels lists the models that the engine has loaded.
	LoadedModels []string
	// AssignmentPending is set while the engine has not responded to an assignment.
	AssignmentPending bool
}

// Service is a group of engines and the models that its pools require.
type Service struct {
	Name    string
	Wanted  []string
	Engines []Engine
}

// ModelAssignment assigns one engine its complete set of models.
type ModelAssignment struct {
	Addr string
	// Models is the set, sorted. The engine unloads all others.
	Models []string
	// ModelToLoad is the model that the engine has to load, or "".
	ModelToLoad string
}

// Next returns the assignments to send now. Repeated calls bring every engine of a service
// to have exactly the wanted models. An assignment loads at most one model, the one with the
// fewest copies first; unwanted models are unloaded only once an engine has all wanted ones.
// At most maxLoads models are loaded at a time, with every pending assignment counted as a
// load. An engine with a pending assignment gets no other. A service without wanted models
// gets no assignments.
func Next(services []Service, maxLoads int) []ModelAssignment {
	free := maxLoads
	var assignments []ModelAssignment
	for _, s := range services {
		free -= countPending(s.Engines)
	}
	for _, s := range services {
		copies := countCopies(s)
		for _, e := range idleByLoad(s) {
			a, ok := nextAssignment(s, e, copies)
			if !ok || (a.ModelToLoad != "" && free <= 0) {
				continue
			}
			if a.ModelToLoad != "" {
				free--
				copies[a.ModelToLoad]++
			}
			assignments = append(assignments, a)
		}
	}
	return assignments
}

func countPending(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if e.AssignmentPending {
			n++
		}
	}
	return n
}

func countCopies(s Service) map[string]int {
	copies := make(map[string]int, len(s.Wanted))
	for _, e := range s.Engines {
		for _, m := range e.LoadedModels {
			copies[m]++
		}
	}
	return copies
}

// idleByLoad returns the engines without a pending assignment, those with the
// fewest models first.
func idleByLoad(s Service) []Engine {
	var idle []Engine
	for _, e := range s.Engines {
		if !e.AssignmentPending {
			idle = append(idle, e)
		}
	}
	slices.SortStableFunc(idle, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(len(a.LoadedModels), len(b.LoadedModels)), cmp.Compare(a.Addr, b.Addr))
	})
	return idle
}

// nextAssignment returns the next assignment for an engine, if it needs one. copies counts
// the engines of the service that have each model, including the loads that the same call
// has assigned before.
func nextAssignment(s Service, e Engine, copies map[string]int) (ModelAssignment, bool) {
	missing := ""
	for _, m := range s.Wanted {
		if !slices.Contains(e.LoadedModels, m) && (missing == "" || copies[m] < copies[missing]) {
			missing = m
		}
	}
	if missing != "" {
		return ModelAssignment{
			Addr:        e.Addr,
			Models:      sorted(append(slices.Clone(e.LoadedModels), missing)),
			ModelToLoad: missing,
		}, true
	}
	if len(s.Wanted) == 0 || len(e.LoadedModels) == len(s.Wanted) {
		return ModelAssignment{}, false
	}
	return ModelAssignment{
		Addr:   e.Addr,
		Models: sorted(slices.Clone(s.Wanted)),
	}, true
}

func sorted(models []string) []string {
	slices.Sort(models)
	return models
}
