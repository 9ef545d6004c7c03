package table

import (
	"fmt"
	"slices"
	"strings"
)

// Describe returns a summary of what an edit would change and which routes would lose
// capacity. Its lines are at most 40 columns wide, to fit a phone's screen.
func (t *Tables) Describe(e Edit) string {
	switch c := e.Change.(type) {
	case SetRoute:
		return wrap(t.describeSetRoute(c.Route))
	case DeleteRoute:
		return wrap("delete route " + c.Name + ": its requests are refused")
	case SetPool:
		return wrap(t.describeSetPool(c.Pool))
	case DeletePool:
		return wrap("delete pool " + c.Name + "; " + t.describeAffectedRoutes(c.Name))
	}
	return "nothing changes"
}

func (t *Tables) describeSetRoute(r Route) string {
	row, ok := t.Route(r.Name)
	if !ok {
		return "new route " + r.Name + " with " + countOf(len(r.Stages), "stage")
	}
	old := row.Value
	var changes []string
	if old.Deadline != r.Deadline {
		changes = append(changes, fmt.Sprintf("deadline %v to %v", old.Deadline, r.Deadline))
	}
	if len(old.Stages) != len(r.Stages) {
		changes = append(changes, fmt.Sprintf("%d to %s", len(old.Stages), countOf(len(r.Stages), "stage")))
	}
	for i, s := range r.Stages {
		if i < len(old.Stages) && old.Stages[i] != s {
			changes = append(changes, "stage "+s.Name+" changed")
		}
	}
	return "change route " + r.Name + ": " + joinChanges(changes)
}

func (t *Tables) describeSetPool(p Pool) string {
	row, ok := t.Pool(p.Name)
	if !ok {
		return "new pool " + p.Name + " on service " + p.Service
	}
	old := row.Value
	text := "change pool " + p.Name + ": " + joinChanges(poolChanges(old, p))
	if p.Concurrency < old.Concurrency || p.Service != old.Service {
		text += "; " + t.describeAffectedRoutes(p.Name)
	}
	return text
}

func poolChanges(old, next Pool) []string {
	var changes []string
	if old.Kind != next.Kind {
		changes = append(changes, fmt.Sprintf("%v to %v", old.Kind, next.Kind))
	}
	if old.Service != next.Service {
		changes = append(changes, fmt.Sprintf("service %s to %s", old.Service, next.Service))
	}
	if old.Concurrency != next.Concurrency {
		changes = append(changes, fmt.Sprintf("concurrency %d to %d", old.Concurrency, next.Concurrency))
	}
	if !slices.Equal(old.Shares, next.Shares) {
		changes = append(changes, "shares changed")
	}
	if !slices.Equal(old.Models, next.Models) {
		changes = append(changes, "models changed")
	}
	if old.ChecksFencing != next.ChecksFencing {
		changes = append(changes, "fencing changed")
	}
	return changes
}

func (t *Tables) describeAffectedRoutes(name string) string {
	routes := t.routesUsing(name)
	if len(routes) == 0 {
		return "no route uses it"
	}
	names := make([]string, 0, len(routes))
	for _, r := range routes {
		names = append(names, r.Name)
	}
	return "less capacity for " + strings.Join(names, ", ")
}

func joinChanges(changes []string) string {
	if len(changes) == 0 {
		return "nothing changes"
	}
	return strings.Join(changes, ", ")
}

// countOf returns a number with its noun in the singular or plural.
func countOf(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
