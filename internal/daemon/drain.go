package daemon

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/wire/operatorapi"
)

const (
	// propagationDelay is how long it may take until no daemon returns the address of this
	// one to callers any more. It also bounds the shutdown of the caller server.
	propagationDelay  = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

// lifecycleState is how far the drain of a daemon has got.
type lifecycleState int32

const (
	stateServing lifecycleState = iota
	// stateDraining means that callers get other addresses and are still served.
	stateDraining
	// stateRejecting means that new requests are rejected and only those in flight are
	// served.
	stateRejecting
)

// String returns the name of s as operators see it.
func (s lifecycleState) String() string {
	switch s {
	case stateServing:
		return "serving"
	case stateDraining:
		return "leaving"
	case stateRejecting:
		return "refusing"
	}
	return "unknown"
}

func (d *Daemon) lifecycleState() lifecycleState {
	return lifecycleState(d.lifecycle.Load())
}

// Drain starts the graceful stop. Further calls have no effect.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.drainRequested) })
}

// drain withdraws this daemon's address from the addresses that callers get, serves until
// callers no longer cache it and the idempotency keys that it issued have expired, and
// waits for the requests in flight.
func (d *Daemon) drain(ctx context.Context, callers *http.Server) {
	d.lifecycle.Store(int32(stateDraining))
	d.members.SetLeaving()
	d.logger.Info("drain started", zap.Int("in_flight", d.service.InFlight()))
	if !sleep(ctx, d.settings.Drain.ResolveTTL+propagationDelay) {
		return
	}
	if !sleep(ctx, time.Until(d.service.StopIssuingKeys())) {
		return
	}
	d.service.StopAccepting()
	d.lifecycle.Store(int32(stateRejecting))
	d.waitIdle(ctx)
	shutdown, stop := context.WithTimeout(context.WithoutCancel(ctx), propagationDelay)
	defer stop()
	if err := callers.Shutdown(shutdown); err != nil {
		d.logger.Warn("caller connections still open at the end of the drain", zap.Error(err))
	}
	d.logger.Info("drain complete", zap.Int("in_flight", d.activeRequests()))
}

// waitIdle waits until no request is in flight, at most for the grace period in the
// settings.
func (d *Daemon) waitIdle(ctx context.Context) {
	end := time.Now().Add(d.settings.Drain.Grace)
	for d.activeRequests() > 0 && time.Now().Before(end) {
		if !sleep(ctx, drainPollInterval) {
			return
		}
	}
}

// activeRequests returns the number of requests in flight, including those whose callers
// have disconnected.
func (d *Daemon) activeRequests() int {
	return max(d.service.InFlight(), d.executor.Active())
}

// sleep waits for t and reports whether it passed before ctx ended.
func sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// drainer implements the drain command of the operator API.
type drainer struct {
	daemon *Daemon
}

// Drain implements operatorhttp.Drainer.
func (r drainer) Drain() operatorapi.DrainState {
	r.daemon.Drain()
	state := r.daemon.lifecycleState()
	if state == stateServing {
		state = stateDraining
	}
	return operatorapi.DrainState{
		State:    state.String(),
		InFlight: r.daemon.activeRequests(),
	}
}
