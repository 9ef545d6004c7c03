package table

import (
	"fmt"
	"slices"
	"strings"
)

// Describe says what an edit would do: what changes, and which routes lose
// capacity. Lines are at most 40 columns wide, for a phone.
func (t *Tables) Describe(e Edit) string {
	switch c := e.Change.(type) {
	case SetRoute:
		return wrap(t.describeSetRoute(c.Route))
	case DeleteRoute:
		return wrap("delete route " + c.Name + ": its requests are refused")
	case SetPool:
		return wrap(t.describeSetPool(c.Pool))
	case DeletePool:
		return wrap("delete pool " + c.Name + "; " + t.describeLoss(c.Name))
	}
	return "nothing changes"
}

func (t *Tables) describeSetRoute(r Route) string {
	row, ok := t.Route(r.Name)
	if !ok {
		return "new route " + r.Name + " with " + count(len(r.Stages), "stage")
	}
	was := row.Value
	var changes []string
	if was.Deadline != r.Deadline {
		changes = append(changes, fmt.Sprintf("deadline %v to %v", was.Deadline, r.Deadline))
	}
	if len(was.Stages) != len(r.Stages) {
		changes = append(changes, fmt.Sprintf("%d to %s", len(was.Stages), count(len(r.Stages), "stage")))
	}
	for i, s := range r.Stages {
		if i < len(was.Stages) && was.Stages[i] != s {
			changes = append(changes, "stage "+s.Name+" changed")
		}
	}
	return "change route " + r.Name + ": " + list(changes)
}

func (t *Tables) describeSetPool(p Pool) string {
	row, ok := t.Pool(p.Name)
	if !ok {
		return "new pool " + p.Name + " on service " + p.Service
	}
	was := row.Value
	text := "change pool " + p.Name + ": " + list(poolChanges(was, p))
	if p.Concurrency < was.Concurrency || p.Service != was.Service {
		text += "; " + t.describeLoss(p.Name)
	}
	return text
}

func poolChanges(was, p Pool) []string {
	var changes []string
	if was.Kind != p.Kind {
		changes = append(changes, fmt.Sprintf("%v to %v", was.Kind, p.Kind))
	}
	if was.Service != p.Service {
		changes = append(changes, fmt.Sprintf("service %s to %s", was.Service, p.Service))
	}
	if was.Concurrency != p.Concurrency {
		changes = append(changes, fmt.Sprintf("concurrency %d to %d", was.Concurrency, p.Concurrency))
	}
	if !slices.Equal(was.Shares, p.Shares) {
		changes = append(changes, "shares changed")
	}
	if !slices.Equal(was.Models, p.Models) {
		changes = append(changes, "models changed")
	}
	if was.ChecksFencing != p.ChecksFencing {
		changes = append(changes, "fencing changed")
	}
	return changes
}

func (t *Tables) describeLoss(pool string) string {
	routes := t.routesOn(pool)
	if len(routes) == 0 {
		return "no route uses it"
	}
	names := make([]string, 0, len(routes))
	for _, r := range routes {
		names = append(names, r.Name)
	}
	return "less capacity for " + strings.Join(names, ", ")
}

func list(changes []string) string {
	if len(changes) == 0 {
		return "nothing changes"
	}
	return strings.Join(changes, ", ")
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
