package pipeline

import (
	"context"
	"sync"
	"time"

	"sequoiafork/internal/upstream"
)

// hedge is a second call, concurrent with a slow first one. A timer starts it, so that
// a fast first call costs no goroutine. If the upstream of the first call is ejected, the
// second call replaces the first: waiting on for an upstream that is many times slower
// than the others would only occupy it.
type hedge struct {
	run   *stageRun
	timer *time.Timer
	// cancelFirst ends the first call once the second has won.
	cancelFirst context.CancelFunc

	mu      sync.Mutex
	stopped bool
	started bool
	cancel  context.CancelFunc
	done    chan struct{}
	result  result
}

// startHedge schedules a second call after delay. cancelFirst must end the
// context of the first call and not that of parent.
func (r *stageRun) startHedge(parent context.Context, delay time.Duration, cancelFirst context.CancelFunc) *hedge {
	h := &hedge{
		run:         r,
		cancelFirst: cancelFirst,
		done:        make(chan struct{}),
	}
	h.timer = time.AfterFunc(delay, func() { h.begin(parent) })
	return h
}

func (h *hedge) begin(parent context.Context) {
	second, ctx, ok := h.pick(parent)
	if !ok {
		return
	}
	h.callSecond(ctx, second)
}

func (h *hedge) callSecond(ctx context.Context, second target) {
	defer close(h.done)
	observeHedge(h.run.pool.Name)
	h.result = h.run.call(ctx, second)
	if h.result.err == nil {
		h.cancelFirst()
	}
}

// replaceFirst cancels the first call, whose upstream was ejected, and starts the second
// one unless it runs already. The first call continues if there can't be a second one.
func (h *hedge) replaceFirst(parent context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	if !h.started {
		second, ctx, ok := h.pickLocked(parent)
		if !ok {
			return
		}
		go h.callSecond(ctx, second)
	}
	h.cancelFirst()
}

// pick chooses the second upstream. It returns false if the first call has ended,
// requests wait for the pool, no upstream is available or the budget is exhausted.
func (h *hedge) pick(parent context.Context) (target, context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A hedge must not use a slot that another request waits for.
	if h.stopped || h.started || h.run.executor.cfg.Admission.Waiting(h.run.pool.Name) > 0 {
		return target{}, nil, false
	}
	return h.pickLocked(parent)
}

// pickLocked is pick without regard to requests that wait. h.mu must be held.
func (h *hedge) pickLocked(parent context.Context) (target, context.Context, bool) {
	second, err := h.run.pick()
	if err != nil {
		return target{}, nil, false
	}
	if !h.run.executor.budget(h.run.pool.Name).Withdraw() {
		second.choice.Done(upstream.Result{
			Outcome: upstream.Cancelled,
		})
		return target{}, nil, false
	}
	h.started = true
	ctx, cancel := context.WithCancel(parent)
	h.cancel = cancel
	return second, ctx, true
}

// stop ends the hedge after the first call. With firstWon the second call is
// cancelled and not waited for; otherwise stop waits for its result, if there is one.
func (h *hedge) stop(firstWon bool) (result, bool) {
	h.timer.Stop()
	h.mu.Lock()
	h.stopped = true
	started := h.started
	h.mu.Unlock()
	if !started {
		return result{}, false
	}
	if firstWon {
		h.cancel()
		return result{}, false
	}
	<-h.done
	h.cancel()
	return h.result, true
}
