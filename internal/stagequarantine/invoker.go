// Package stagequarantine keeps pieces of stages from upstreams that pieces with the same input have ended.
package stagequarantine

import (
	"context"
	"time"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/quarantine"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/tcp"
)

// Quarantine knows which inputs are held. Its methods behave like those of quarantine.Registry and of
// forward.Quarantine.
type Quarantine interface {
	Active() bool
	Blocked(req quarantine.Request) bool
	DecisionIn(req quarantine.Request) time.Duration
	Broke(list ...forward.BrokenAttempt)
	Succeeded(req quarantine.Request)
	NoteSuccess(k quarantine.Key)
}

// Invoker is a stagework.Invoker that runs only pieces whose input is not held. Both fields are required. It is safe for
// concurrent use.
type Invoker struct {
	stagework.Invoker
	Quarantine Quarantine
}

// Run implements stagework.Invoker. Pieces that are held fail, and the others are run.
func (v Invoker) Run(ctx context.Context, u stagework.Upstream, items []stagework.Item) ([]stagework.ItemResult, error) {
	admitted := v.admitted(u, items)
	if len(admitted) == 0 {
		return failedItems(len(items)), nil
	}
	calls := make([]stagework.Item, len(admitted))
	for i, index := range admitted {
		calls[i] = items[index]
	}
	began := time.Now()
	results, err := v.Invoker.Run(ctx, u, calls)
	if err != nil {
		if tcp.Broke(err) {
			v.recordBroken(u, calls, began)
		}
		return nil, err
	}
	if len(results) != len(calls) {
		return results, nil // The scheduler takes it for a failed call.
	}
	v.recordSuccesses(u, calls, results)
	merged := failedItems(len(items))
	for i, index := range admitted {
		merged[index] = results[i]
	}
	return merged, nil
}

// admitted returns the indexes of the items that may be sent. It waits for decisions that are due. The daemon of a
// request decides whether it is a trial.
func (v Invoker) admitted(u stagework.Upstream, items []stagework.Item) []int {
	var list []int
	for i, it := range items {
		time.Sleep(v.Quarantine.DecisionIn(stageRequest(u, it)))
		if !v.Quarantine.Blocked(stageRequest(u, it)) {
			list = append(list, i)
		}
	}
	return list
}

// failedItems returns results of items that were not run, or failed.
func failedItems(n int) []stagework.ItemResult {
	results := make([]stagework.ItemResult, n)
	for i := range results {
		results[i].Status = stagework.ItemFailed
	}
	return results
}

// recordBroken records a call whose connection broke.
func (v Invoker) recordBroken(u stagework.Upstream, items []stagework.Item, began time.Time) {
	var attempts []forward.BrokenAttempt
	for _, it := range items {
		attempts = append(attempts, forward.BrokenAttempt{
			Addr:        u.Addr,
			Incarnation: u.Incarnation,
			Request:     stageRequest(u, it),
			Began:       began,
		})
	}
	v.Quarantine.Broke(attempts...)
}

// recordSuccesses records the pieces that have not ended the upstream.
func (v Invoker) recordSuccesses(u stagework.Upstream, items []stagework.Item, results []stagework.ItemResult) {
	for i, r := range results {
		if r.Status != stagework.Done {
			continue
		}
		req := stageRequest(u, items[i])
		if v.Quarantine.Active() {
			v.Quarantine.Succeeded(req)
			continue
		}
		for _, k := range req.Keys {
			v.Quarantine.NoteSuccess(k)
		}
	}
}

// stageRequest returns the request of an item with the key of its input, if it has one.
func stageRequest(u stagework.Upstream, it stagework.Item) quarantine.Request {
	req := quarantine.Request{
		ID: it.RequestID,
	}
	if it.JobInput != "" {
		req.Keys = []quarantine.Key{
			quarantine.StageInputKey(u.Service, it.JobInput),
		}
	}
	return req
}
