package stagework

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxRecentRuns is the number of responses that are remembered for each upstream. A copy may come as late as the next call
// on its connection, after calls on all others. maxRepeatUpstreams bounds the upstreams.
const (
	maxRecentRuns      = 128
	maxRepeatUpstreams = 4096
)

// Repeats finds second copies of the responses to calls. Neither a response nor its connection names the call, but a
// handle names one result until that is freed, so that a response with the handle of an earlier one is a copy of that. A
// copy may also come after the results were freed. It then has all handles of the earlier response, in the same order.
// Its zero value is ready. It is safe for concurrent use.
type Repeats struct {
	mu     sync.Mutex
	recent map[string][]runResult // by incarnation of the upstream, the last one last
}

// runResult is the response to a call: its first result and the hashes of its handles.
type runResult struct {
	work workID
	// first is the hash of the first handle, and all that of all handles.
	first, all uint64
	// freed reports that the upstream may use the first handle again.
	freed bool
}

// workID identifies the work of an item by hashes of the request and of its input. key is zero without one.
type workID struct {
	stage, piece int
	request, key uint64
}

// Observe records the response to a call at an upstream and reports whether it is a copy of the response to another
// call. Items and results correspond.
func (r *Repeats) Observe(incarnation string, items []Item, results []ItemResult) bool {
	run, ok := newRunResult(items, results)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.recent[incarnation]
	i := slices.IndexFunc(list, run.mayCopy)
	if i < 0 {
		r.record(incarnation, run)
		return false
	}
	if list[i].work.same(run.work) {
		list[i].freed = false
		return false
	}
	// An upstream that uses a handle again, against the rule, fails one call and not all.
	r.recent[incarnation] = slices.Delete(list, i, i+1)
	return true
}

// Freed records that an upstream may use handles again.
func (r *Repeats) Freed(incarnation string, handles []string) {
	freed := make(map[uint64]bool, len(handles))
	for _, h := range handles {
		freed[xxhash.Sum64String(h)] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.recent[incarnation]
	for i := range list {
		list[i].freed = list[i].freed || freed[list[i].first]
	}
}

// record adds a response. The caller holds mu.
func (r *Repeats) record(incarnation string, run runResult) {
	list, ok := r.recent[incarnation]
	if r.recent == nil || !ok && len(r.recent) >= maxRepeatUpstreams {
		r.recent = make(map[string][]runResult)
	}
	if len(list) >= maxRecentRuns {
		list = slices.Delete(list, 0, len(list)-maxRecentRuns+1)
	}
	r.recent[incarnation] = append(list, run)
}

// newRunResult returns the response to a call, and false if it has no handle.
func newRunResult(items []Item, results []ItemResult) (runResult, bool) {
	const separator = "\n" // It is in no handle, which is sent in a header.
	i := slices.IndexFunc(results, func(res ItemResult) bool { return res.Handle != "" })
	if i < 0 || i >= len(items) {
		return runResult{}, false
	}
	var all xxhash.Digest
	all.Reset()
	for _, res := range results {
		_, _ = all.WriteString(res.Handle + separator) // It does not fail.
	}
	return runResult{
		work:  newWorkID(items[i]),
		first: xxhash.Sum64String(results[i].Handle),
		all:   all.Sum64(),
	}, true
}

// mayCopy reports whether run is a copy of an earlier response, unless both are to the same work.
func (run runResult) mayCopy(earlier runResult) bool {
	if earlier.freed {
		return run.all == earlier.all
	}
	return run.first == earlier.first
}

func newWorkID(it Item) workID {
	id := workID{
		stage:   it.Stage,
		piece:   it.Piece,
		request: xxhash.Sum64String(it.RequestID),
	}
	if it.InputKey != "" {
		id.key = xxhash.Sum64String(it.InputKey)
	}
	return id
}

// same reports whether an upstream may return the same result: an item is sent again, or has the same input.
func (id workID) same(o workID) bool {
	if id.stage != o.stage || id.piece != o.piece {
		return false
	}
	return id.request == o.request || id.key != 0 && id.key == o.key
}
