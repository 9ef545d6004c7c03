package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sequoiafork/internal/placement"
)

var models = []string{"a", "b", "c", "d"}

func drawService(t *rapid.T, name string) placement.Service {
	s := placement.Service{
		Name:   name,
		Wanted: rapid.SliceOfNDistinct(rapid.SampledFrom(models), 1, len(models), rapid.ID).Draw(t, "wanted"),
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
		s.Engines = append(s.Engines, placement.Engine{
			Addr:              fmt.Sprintf("10.0.0.%d:%s", i, name),
			LoadedModels:      rapid.SliceOfNDistinct(rapid.SampledFrom(models), 0, len(models), rapid.ID).Draw(t, "held"),
			AssignmentPending: rapid.Bool().Draw(t, "open"),
		})
	}
	return s
}

func copies(s placement.Service, model string) int {
	n := 0
	for _, e := range s.Engines {
		if slices.Contains(e.LoadedModels, model) {
			n++
		}
	}
	return n
}

// TestNextConverges executes the assignments, completing them in random order, until there
// are none. It checks that the limit on loads is kept, that no engine gets a second assignment
// meanwhile, and that a wanted model that was loaded somewhere always stays loaded somewhere.
func TestNextConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := []placement.Service{drawService(t, "x"), drawService(t, "y")}
		loads := rapid.IntRange(1, 3).Draw(t, "loads")
		before := make(map[string]bool)
		for _, s := range services {
			for _, m := range s.Wanted {
				before[s.Name+m] = copies(s, m) > 0
			}
		}
		for round := range 200 {
			assignments := placement.Next(services, loads)
			if len(assignments) == 0 && !completeOne(t, services) {
				break
			}
			require.Less(t, round, 199, "assignments did not end")
			pending := countPending(services)
			require.LessOrEqual(t, pending+countLoads(assignments), max(loads, pending))
			apply(t, services, assignments)
			completeOne(t, services)
			for _, s := range services {
				for _, m := range s.Wanted {
					if before[s.Name+m] {
						require.NotZero(t, copies(s, m), "copies of %s, a wanted model that was loaded before", m)
					}
				}
			}
		}
		for _, s := range services {
			for _, e := range s.Engines {
				require.ElementsMatch(t, s.Wanted, e.LoadedModels, "models of %s", e.Addr)
			}
		}
	})
}

func apply(t *rapid.T, services []placement.Service, assignments []placement.ModelAssignment) {
	for _, a := range assignments {
		for i := range services {
			for j := range services[i].Engines {
				e := &services[i].Engines[j]
				if e.Addr != a.Addr {
					continue
				}
				require.False(t, e.AssignmentPending, "%s has a pending assignment already", e.Addr)
				e.AssignmentPending = true
				e.LoadedModels = a.Models
			}
		}
	}
}

// completeOne completes a random pending assignment and reports whether there was one.
func completeOne(t *rapid.T, services []placement.Service) bool {
	var pending []*placement.Engine
	for i := range services {
		for j := range services[i].Engines {
			if e := &services[i].Engines[j]; e.AssignmentPending {
				pending = append(pending, e)
			}
		}
	}
	if len(pending) == 0 {
		return false
	}
	pending[rapid.IntRange(0, len(pending)-1).Draw(t, "finished")].AssignmentPending = false
	return true
}

func countPending(services []placement.Service) int {
	n := 0
	for _, s := range services {
		for _, e := range s.Engines {
			if e.AssignmentPending {
				n++
			}
		}
	}
	return n
}

func TestNextLoadsTheRarestModelFirst(t *testing.T) {
	assignments := placement.Next([]placement.Service{
		{
			Name:   "x",
			Wanted: []string{"a", "b"},
			Engines: []placement.Engine{
				{
					Addr:         "1",
					LoadedModels: []string{"a"},
				},
				{
					Addr: "2",
				},
			},
		},
	}, 1)
	require.Equal(t, []placement.ModelAssignment{
		{
			Addr:        "2",
			Models:      []string{"b"},
			ModelToLoad: "b",
		},
	}, assignments)
}

func countLoads(assignments []placement.ModelAssignment) int {
	n := 0
	for _, a := range assignments {
		if a.ModelToLoad != "" {
			n++
		}
	}
	return n
}
