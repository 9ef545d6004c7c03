package stagework

import (
	"slices"
	"sync"
)

// maxRecentRuns is the number of responses that are remembered for each upstream: more than the calls in progress there
// at a time. maxRepeatUpstreams bounds the upstreams.
const (
	maxRecentRuns      = 8
	maxRepeatUpstreams = 4096
)

// Repeats finds second copies of the responses to calls. Neither a response nor its connection names the call, but a
// handle names one result until that is freed, so that a response with the handle of an earlier one is a copy of that.
// Its zero value is ready. It is safe for concurrent use.
type Repeats struct {
	mu     sync.Mutex
	recent map[string][]runResult // by incarnation of the upstream, the last one last
}

// runResult is the first result of a call.
type runResult struct {
	item   Item
	handle string
}

// Observe records the response to a call at an upstream and reports whether it is a copy of the response to another
// call. Items and results correspond.
func (r *Repeats) Observe(incarnation string, items []Item, results []ItemResult) bool {
	first, ok := firstResult(items, results)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.recent[incarnation]
	i := slices.IndexFunc(list, func(known runResult) bool { return known.handle == first.handle })
	if i < 0 {
		r.record(incarnation, first)
		return false
	}
	if list[i].sameWork(first.item) {
		return false
	}
	// An upstream that uses a handle again, against the rule, fails one call and not all.
	r.recent[incarnation] = slices.Delete(list, i, i+1)
	return true
}

// Freed forgets results, whose handles the upstream may use again.
func (r *Repeats) Freed(incarnation string, handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list, ok := r.recent[incarnation]; ok {
		r.recent[incarnation] = slices.DeleteFunc(list, func(known runResult) bool { return slices.Contains(handles, known.handle) })
	}
}

// record adds a result. The caller holds mu.
func (r *Repeats) record(incarnation string, first runResult) {
	if _, ok := r.recent[incarnation]; r.recent == nil || !ok && len(r.recent) >= maxRepeatUpstreams {
		r.recent = make(map[string][]runResult)
	}
	list := append(r.recent[incarnation], first)
	r.recent[incarnation] = list[max(len(list)-maxRecentRuns, 0):]
}

// firstResult returns the first item with a handle.
func firstResult(items []Item, results []ItemResult) (runResult, bool) {
	for i := range min(len(items), len(results)) {
		if results[i].Handle != "" {
			return runResult{
				item:   items[i],
				handle: results[i].Handle,
			}, true
		}
	}
	return runResult{}, false
}

// sameWork reports whether an upstream may return the same result for an item: it is sent again, or has the same input.
func (r runResult) sameWork(it Item) bool {
	if r.item.Stage != it.Stage || r.item.Piece != it.Piece {
		return false
	}
	return r.item.RequestID == it.RequestID || r.item.InputKey != "" && r.item.InputKey == it.InputKey
}
