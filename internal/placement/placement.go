// Package placement decides which models each engine should hold. It does no I/O:
// the holder of the placement lease feeds it what the engines hold and sends the
// orders that it returns.
package placement

import (
	"cmp"
	"slices"
)

// Engine is what is known of one engine.
type Engine struct {
	Addr string
	// LoadedModels lists the models that the engine holds.
	LoadedModels []string
	// OrderPending says that an order to the engine has not been answered yet.
	OrderPending bool
}

// Service is a group of engines and the models that its pools want.
type Service struct {
	Name    string
	Wanted  []string
	Engines []Engine
}

// Order sets the whole state of one engine.
type Order struct {
	Addr   string
	Models []string
	// ModelToLoad is the model that the engine has to load, or "".
	ModelToLoad string
}

// Next returns the orders to give now. Every engine comes to hold every wanted
// model, one load an order, the model with the fewest copies first; a model that is
// not wanted is dropped only once an engine holds all that are. At most loads models
// are being loaded at a time, open orders included, and an engine with an open order
// gets no other.
func Next(services []Service, loads int) []Order {
	var orders []Order
	for _, s := range services {
		loads -= countPending(s.Engines)
	}
	for _, s := range services {
		copies := countCopies(s)
		for _, e := range idleByLoad(s) {
			o, ok := nextOrder(s, e, copies)
			if !ok || (o.ModelToLoad != "" && loads <= 0) {
				continue
			}
			if o.ModelToLoad != "" {
				loads--
				copies[o.ModelToLoad]++
			}
			orders = append(orders, o)
		}
	}
	return orders
}

func countPending(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if e.OrderPending {
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

// idleByLoad returns the engines without an open order, the one that holds least first.
func idleByLoad(s Service) []Engine {
	var idle []Engine
	for _, e := range s.Engines {
		if !e.OrderPending {
			idle = append(idle, e)
		}
	}
	slices.SortStableFunc(idle, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(len(a.LoadedModels), len(b.LoadedModels)), cmp.Compare(a.Addr, b.Addr))
	})
	return idle
}

func nextOrder(s Service, e Engine, copies map[string]int) (Order, bool) {
	missing := ""
	for _, m := range s.Wanted {
		if !slices.Contains(e.LoadedModels, m) && (missing == "" || copies[m] < copies[missing]) {
			missing = m
		}
	}
	if missing != "" {
		return Order{
			Addr:        e.Addr,
			Models:      sorted(append(slices.Clone(e.LoadedModels), missing)),
			ModelToLoad: missing,
		}, true
	}
	if len(s.Wanted) == 0 || len(e.LoadedModels) == len(s.Wanted) {
		return Order{}, false
	}
	return Order{
		Addr:   e.Addr,
		Models: sorted(slices.Clone(s.Wanted)),
	}, true
}

func sorted(models []string) []string {
	slices.Sort(models)
	return models
}
