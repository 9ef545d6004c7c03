package table

import (
	"fmt"
	"slices"
	"strings"
)

// lineColumns is the width of a phone's line.
const lineColumns = 40

// Describe says what an edit would do: what changes, and which routes lose
// capacity. Lines are at most 40 columns wide.
func (t *Tables) Describe(e Edit) string {
	var words []string
	switch c := e.Change.(type) {
	case SetRoute:
		words = t.describeSetRoute(c.Route)
	case DeleteRoute:
		words = []string{"delete route", c.Name + ":", "its requests are refused"}
	case SetPool:
		words = t.describeSetPool(c.Pool)
	case DeletePool:
		words = append([]string{"delete pool", c.Name}, t.describeLoss(c.Name)...)
	}
	return wrap(strings.Fields(strings.Join(words, " ")))
}

func (t *Tables) describeSetRoute(r Route) []string {
	old, ok := t.Route(r.Name)
	if !ok {
		return []string{"new route", r.Name, "with", count(len(r.Stages), "stage")}
	}
	words := []string{"change route", r.Name + ":"}
	was := old.Value
	if was.Deadline != r.Deadline {
		words = append(words, fmt.Sprintf("deadline %v to %v,", was.Deadline, r.Deadline))
	}
	if len(was.Stages) != len(r.Stages) {
		words = append(words, fmt.Sprintf("%d to %s,", len(was.Stages), count(len(r.Stages), "stage")))
	}
	for i, s := range r.Stages {
		if i < len(was.Stages) && was.Stages[i] != s {
			words = append(words, "stage "+s.Name+" changed,")
		}
	}
	return endList(words)
}

func (t *Tables) describeSetPool(p Pool) []string {
	old, ok := t.Pool(p.Name)
	if !ok {
		return []string{"new pool", p.Name, "on service", p.Service}
	}
	words := []string{"change pool", p.Name + ":"}
	was := old.Value
	if was.Kind != p.Kind {
		words = append(words, fmt.Sprintf("%v to %v,", was.Kind, p.Kind))
	}
	if was.Service != p.Service {
		words = append(words, fmt.Sprintf("service %s to %s,", was.Service, p.Service))
	}
	if was.Concurrency != p.Concurrency {
		words = append(words, fmt.Sprintf("concurrency %d to %d,", was.Concurrency, p.Concurrency))
	}
	words = append(words, describeLists(was, p)...)
	words = endList(words)
	if p.Concurrency < was.Concurrency || p.Service != was.Service {
		words = append(words, t.describeLoss(p.Name)...)
	}
	return words
}

func describeLists(was, p Pool) []string {
	var words []string
	if !slices.Equal(was.Shares, p.Shares) {
		words = append(words, "shares changed,")
	}
	if !slices.Equal(was.Models, p.Models) {
		words = append(words, "models changed,")
	}
	if was.ChecksFencing != p.ChecksFencing {
		words = append(words, "fencing changed,")
	}
	return words
}

func (t *Tables) describeLoss(pool string) []string {
	routes := t.routesOn(pool)
	if len(routes) == 0 {
		return []string{"; no route uses it"}
	}
	words := []string{"; less capacity for"}
	for _, r := range routes {
		words = append(words, r.Name+",")
	}
	return endList(words)
}
