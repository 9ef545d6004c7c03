package daemon

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/wire/operatorapi"
)

const (
	// noticeTime is how long it may take until all daemons leave this one out of
	// their answers.
	propagationDelay  = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

// lifeState is how far a daemon is on its way out.
type lifecycleState int32

const (
	stateServing lifecycleState = iota
	// stateLeaving means that callers are told other addresses and are still served.
	stateDraining
	// stateRefusing means that only requests in flight are served.
	stateRejecting
)

// String returns the name of s.
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
	return lifecycleState(d.state.Load())
}

// Drain begins the graceful stop. Further calls change nothing.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.drainRequested) })
}

// drain leaves the answers about addresses, serves until callers have forgotten
// this one and the keys that it issued have run out, and finishes what is in flight.
func (d *Daemon) drain(ctx context.Context, callers *http.Server) {
	d.state.Store(int32(stateDraining))
	d.members.SetLeaving()
	d.logger.Info("drain begins", zap.Int("in_flight", d.service.InFlight()))
	if !sleep(ctx, d.settings.Drain.ResolveTTL+propagationDelay) {
		return
	}
	if !sleep(ctx, time.Until(d.service.StopIssuingKeys())) {
		return
	}
	d.service.StopAccepting()
	d.state.Store(int32(stateRejecting))
	d.waitIdle(ctx)
	shutdown, stop := context.WithTimeout(context.WithoutCancel(ctx), propagationDelay)
	defer stop()
	if err := callers.Shutdown(shutdown); err != nil {
		d.logger.Warn("connections were still open at the end of the drain", zap.Error(err))
	}
	d.logger.Info("drain is over", zap.Int("in_flight", d.activeRequests()))
}

// finish waits until nothing is in flight, at most for the drain's grace.
func (d *Daemon) waitIdle(ctx context.Context) {
	end := time.Now().Add(d.settings.Drain.Grace)
	for d.activeRequests() > 0 && time.Now().Before(end) {
		if !sleep(ctx, drainPollInterval) {
			return
		}
	}
}

// busy counts requests in flight, also those whose callers have gone.
func (d *Daemon) activeRequests() int {
	return max(d.service.InFlight(), d.executor.Active())
}

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

// drainer serves the operators' drain command.
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
