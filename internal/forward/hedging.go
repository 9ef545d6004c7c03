package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/hedge"
	"sequoiafork/internal/upstream"
)

// hedging is the budgeted hedge of one request: one second attempt beside the first while that one is slow for its
// kind. A nil hedging makes none and records nothing.
type hedging struct {
	x *execution
	// first is the attempt that may be hedged, and began its start. watching reports that its time is to be recorded.
	first    hedge.Attempt
	began    time.Time
	watching bool
	// check fires when the next decision is due.
	check *time.Timer
	// made reports that the second attempt was made. reservation is its work, nil once that is settled, and
	// secondBegan its start.
	made        bool
	reservation *hedge.Reservation
	secondBegan time.Time
	// cancelFirst and cancelSecond end the attempts of a request whose response is not a stream.
	cancelFirst  context.CancelCauseFunc
	cancelSecond context.CancelCauseFunc
}

// newHedging returns the hedging of a request, or nil if it may not be hedged within a budget of work.
func (x *execution) newHedging() *hedging {
	if !x.forwarder.cfg.Hedge.Enabled() || !x.route.Kind.Retryable() || x.hasLastID {
		return nil
	}
	check := time.NewTimer(0)
	check.Stop()
	return &hedging{
		x:            x,
		check:        check,
		cancelFirst:  func(error) {},
		cancelSecond: func(error) {},
	}
}

// due returns the channel of the next decision, nil if there is none.
func (h *hedging) due() <-chan time.Time {
	if h == nil {
		return nil
	}
	return h.check.C
}

// begin starts to watch an attempt that begins at its turn.
func (h *hedging) begin(choice upstream.Choice) {
	if h == nil {
		return
	}
	h.began = time.Now().Add(choice.Delay)
	h.watching = !h.made
	if h.made {
		return
	}
	load := choice.ReportedLoad(h.x.pool())
	h.first = h.x.forwarder.cfg.Hedge.Begin(hedge.Request{
		Pool:   h.x.service.Name,
		Kind:   h.x.route.Name,
		Tokens: h.x.req.promptTokens(),
	}, hedge.Load{
		Pace:   load.Pace,
		Queued: load.Queued,
		Slots:  load.Slots,
	})
	if after, ok := h.first.CheckAfter(); ok {
		h.check.Reset(choice.Delay + after)
	}
}

// promptTokens returns the size of the prompt in tokens.
func (r *Request) promptTokens() int {
	sum := 0
	for _, p := range r.Prompt {
		sum += p.Tokens
	}
	return sum
}

// pick returns the upstream of the second attempt if one is to be made now. Its work is then reserved and its retry
// withdrawn. Otherwise the next decision, if any, is due later.
func (h *hedging) pick() (upstream.Choice, bool) {
	elapsed := time.Since(h.began)
	spare := h.x.forwarder.cfg.Upstreams.Spare(h.x.pool())
	switch v := h.first.Decide(elapsed, hedge.Pool{
		Slots:  spare.Slots,
		Free:   spare.Free,
		Queued: spare.Queued,
	}).(type) {
	case hedge.Wait:
		h.withheld(string(v.Reason))
		h.check.Reset(v.After)
	case hedge.Never:
		h.withheld(string(v.Reason))
	case hedge.Hedge:
		return h.pickFor(v, elapsed)
	}
	return upstream.Choice{}, false
}

// pickFor returns the upstream of a second attempt that is worth its work, if the retry budget pays for it and an
// upstream has a free slot. It is not asked for again otherwise.
func (h *hedging) pickFor(v hedge.Hedge, elapsed time.Duration) (upstream.Choice, bool) {
	if !h.x.retryBudget().Withdraw() {
		v.Reservation.Cancel()
		h.withheld("retry_budget")
		return upstream.Choice{}, false
	}
	choice, err := h.x.pickSpare()
	if err != nil {
		h.x.retryBudget().Return()
		v.Reservation.Cancel()
		h.withheld("no_upstream")
		return upstream.Choice{}, false
	}
	h.made = true
	h.reservation = v.Reservation
	h.secondBegan = time.Now()
	h.count("hedged_requests")
	h.x.forwarder.cfg.Logger.Info("request is hedged",
		zap.String("request_id", h.x.req.ID), zap.String("route", h.x.route.Name), zap.String("service", h.x.service.Name),
		zap.String("second", choice.Incarnation), zap.Int("prompt_tokens", h.x.req.promptTokens()), zap.Duration("elapsed_ms", elapsed),
		zap.Duration("expected_ms", h.first.Expected()), zap.Duration("gain_ms", v.Gain), zap.Duration("cost_ms", v.Cost),
		zap.Duration("reserved_ms", v.Reservation.Work()), zap.Duration("balance_ms", h.first.Balance()))
	return choice, true
}

// firstWon records that the first attempt has got its response, so that the second one, if any, is abandoned.
func (h *hedging) firstWon(took time.Duration) {
	if h == nil || !h.watching {
		return
	}
	h.stopWatching()
	h.first.Ended(took)
	h.secondEnded()
}

// secondWon records that the second attempt was faster, so that the first one is abandoned.
func (h *hedging) secondWon() {
	if h == nil || !h.watching {
		return
	}
	h.stopWatching()
	h.first.Abandoned(time.Since(h.began))
	if h.active() {
		h.count("hedges_won")
		h.settle(time.Since(h.began))
	}
}

// firstFailed records that the first attempt has failed, so that the second one, if any, is no longer a hedge.
func (h *hedging) firstFailed() {
	if h == nil {
		return
	}
	h.stopWatching()
	h.settle(time.Since(h.began))
}

// stopWatching ends the decisions about the first attempt.
func (h *hedging) stopWatching() {
	h.watching = false
	h.check.Stop()
}

// close records the extra work of a hedge that is in progress when the request ends.
func (h *hedging) close() {
	if h != nil {
		h.check.Stop()
		h.cancelFirst(nil)
		h.cancelSecond(nil)
		h.secondEnded()
	}
}

// cancellable returns the context of an attempt that may lose to another one.
func (h *hedging) cancellable(ctx context.Context, second bool) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	if second {
		h.cancelSecond = cancel
		return ctx
	}
	h.cancelFirst(nil) // An attempt before this one has ended.
	h.cancelFirst = cancel
	return ctx
}

// secondEnded records that the second attempt has failed or is abandoned.
func (h *hedging) secondEnded() {
	if h != nil {
		h.settle(time.Since(h.secondBegan))
	}
}

// settle records the extra work of the hedge once.
func (h *hedging) settle(extra time.Duration) {
	if h.reservation == nil {
		return
	}
	h.reservation.Settle(extra)
	h.reservation = nil
	metrics.GetOrCreateFloatCounter(fmt.Sprintf(`sequoiafork_hedge_extra_work_seconds_total{service=%q}`, h.x.service.Name)).Add(extra.Seconds())
}

// answered records the whole time of the request at the upstream that has answered it.
func (h *hedging) answered(total time.Duration) {
	if h == nil {
		return
	}
	h.first.Worked(total)
	metrics.GetOrCreateFloatCounter(fmt.Sprintf(`sequoiafork_hedge_work_seconds_total{service=%q}`, h.x.service.Name)).Add(total.Seconds())
}

// active reports whether a hedge is in progress.
func (h *hedging) active() bool { return h != nil && h.reservation != nil }

func (h *hedging) count(name string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sequoiafork_%s_total{service=%q}`, name, h.x.service.Name)).Inc()
}

// withheld counts a decision against a hedge. The reasons are those of package hedge, retry_budget and no_upstream.
func (h *hedging) withheld(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sequoiafork_hedges_withheld_total{service=%q,reason=%q}`, h.x.service.Name, reason)).Inc()
}
