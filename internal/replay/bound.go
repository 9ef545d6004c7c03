package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Bound returns how many requests a scheduler that knows all arrivals, deadlines
// and faults in advance could answer in time, given the capacity of each pool
// alone. A pool is modelled as a single server that runs one call at a time,
// earliest deadline first, each in the mean service time divided by the number of
// slots, with every prefix cached. Other stages, the network, and the fact that a
// call can't use several slots at once are ignored. The pool that drops the most
// requests determines the result. Only a scheduler that also knew the service time
// of each call, and skipped the long ones, could answer more; see
// SimulateCentralQueue.
func Bound(d Deployment, s Scenario, trace []Arrival) int {
	maxDropped := 0
	for _, p := range d.Pools {
		c := capacity{
			pool:   p,
			faults: s.Faults,
		}
		maxDropped = max(maxDropped, c.countDropped(d.arrivalsOn(p.Name, trace)))
	}
	return len(trace) - maxDropped
}

// arrivalsOn returns the arrivals whose route has a stage that runs on the pool.
func (d Deployment) arrivalsOn(pool string, trace []Arrival) []Arrival {
	var list []Arrival
	for _, a := range trace {
		i := slices.IndexFunc(d.Routes, func(r Route) bool { return r.Name == a.Route })
		if slices.ContainsFunc(d.Routes[i].Stages, func(s Stage) bool { return s.Pool == pool }) {
			list = append(list, a)
		}
	}
	return list
}

// capacity is the capacity of one pool under the faults of a scenario.
type capacity struct {
	pool   Pool
	faults []Fault
}

// meanServiceTime returns the mean time of one call in one slot with its prefix cached.
func (c capacity) meanServiceTime() time.Duration {
	ms := c.pool.MeanMs + cachedPrefillFraction*c.pool.PrefillMs
	return time.Duration(ms * float64(time.Millisecond))
}

// slots returns the effective number of slots at a time since the start of the
// trace. A slow upstream counts as 1/Factor of an upstream.
func (c capacity) slots(at time.Duration) float64 {
	upstreams := float64(c.pool.Upstreams)
	for _, f := range c.faults {
		ended := f.UntilMs > 0 && at.Milliseconds() >= f.UntilMs
		if f.Pool != c.pool.Name || at.Milliseconds() < f.AtMs || ended {
			continue
		}
		upstreams -= float64(f.Count)
		if f.Kind == "slow" {
			upstreams += float64(f.Count) / f.Factor
		}
	}
	return upstreams * float64(c.pool.Concurrency)
}

// countDropped returns how many of the arrivals the pool can't serve in time.
func (c capacity) countDropped(arrivals []Arrival) int {
	const step = 10 * time.Millisecond
	var waiting deadlineHeap
	dropped := 0
	for at := time.Duration(0); len(arrivals) > 0 || len(waiting) > 0; {
		for len(arrivals) > 0 && arrivals[0].At() <= at {
			heap.Push(&waiting, arrivals[0].At()+arrivals[0].Deadline())
			arrivals = arrivals[1:]
		}
		slots := c.slots(at)
		if len(waiting) == 0 || slots <= 0 {
			at += step
		}
		for len(waiting) > 0 && waiting[0] < at {
			heap.Pop(&waiting)
			dropped++
		}
		if len(waiting) > 0 && slots > 0 {
			heap.Pop(&waiting)
			at += time.Duration(float64(c.meanServiceTime()) / slots)
		}
	}
	return dropped
}

// deadlineHeap is a min-heap of deadlines.
type deadlineHeap []time.Duration

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends x, a time.Duration. It implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop removes and returns the last element. It implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// bottleneck returns the pool with the highest utilization.
func (d Deployment) bottleneck(trace []Arrival) Pool {
	load := func(p Pool) float64 {
		c := capacity{
			pool: p,
		}
		return float64(len(d.arrivalsOn(p.Name, trace))) * c.meanServiceTime().Seconds() / c.slots(0)
	}
	return slices.MaxFunc(d.Pools, func(a, b Pool) int { return cmp.Compare(load(a), load(b)) })
}

// bottleneckRoutes returns the routes that use the bottleneck pool.
func (d Deployment) bottleneckRoutes(trace []Arrival) map[string]bool {
	routes := make(map[string]bool)
	for _, a := range d.arrivalsOn(d.bottleneck(trace).Name, trace) {
		routes[a.Route] = true
	}
	return routes
}

// FairShares returns, for each workspace, the smaller of its demand on the
// bottleneck pool and its max-min fair share of that pool, in requests, for the
// arrivals between from and to.
func FairShares(d Deployment, s Scenario, trace []Arrival, from, to time.Duration) map[string]float64 {
	p := d.bottleneck(trace)
	c := capacity{
		pool:   p,
		faults: s.Faults,
	}
	demand := make(map[string]float64)
	for _, a := range d.arrivalsOn(p.Name, trace) {
		if a.At() >= from && a.At() < to {
			demand[a.Workspace]++
		}
	}
	remaining := c.slots(from) * (to - from).Seconds() / c.meanServiceTime().Seconds()
	names := make([]string, 0, len(demand))
	for name := range demand {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(demand[a], demand[b]) })
	shares := make(map[string]float64)
	for i, name := range names {
		shares[name] = min(demand[name], remaining/float64(len(names)-i))
		remaining -= shares[name]
	}
	return shares
}
