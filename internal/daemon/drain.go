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
	noticeTime = 2 * time.Second
	drainPoll  = 20 * time.Millisecond
)

// lifeState is how far a daemon is on its way out.
type lifeState int32

const (
	stateServing lifeState = iota
	// stateLeaving means that callers are told other addresses and are still served.
	stateLeaving
	// stateRefusing means that only requests in flight are served.
	stateRefusing
)

// String returns the name of s.
func (s lifeState) String() string {
	switch s {
	case stateServing:
		return "serving"
	case stateLeaving:
		return "leaving"
	case stateRefusing:
		return "refusing"
	}
	return "unknown"
}

func (d *Daemon) lifeState() lifeState {
	return lifeState(d.state.Load())
}

// Drain begins the graceful stop. Further calls change nothing.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.drainBegun) })
}

// drain leaves the answers about addresses, serves until callers have forgotten
// this one and the keys that it issued have run out, and finishes what is in flight.
func (d *Daemon) drain(ctx context.Context, callers *http.Server) {
	d.state.Store(int32(stateLeaving))
	d.members.SetLeaving()
	d.logger.Info("drain begins", zap.Int("in_flight", d.service.InFlight()))
	if !sleep(ctx, d.settings.Drain.ResolveTTL+noticeTime) {
		return
	}
	if !sleep(ctx, time.Until(d.service.StopIssuingKeys())) {
		return
	}
	d.service.StopAccepting()
	d.state.Store(int32(stateRefusing))
	d.finish(ctx)
	shutdown, stop := context.WithTimeout(context.WithoutCancel(ctx), noticeTime)
	defer stop()
	if err := callers.Shutdown(shutdown); err != nil {
		d.logger.Warn("connections were still open at the end of the drain", zap.Error(err))
	}
	d.logger.Info("drain is over", zap.Int("in_flight", d.busy()))
}

// finish waits until nothing is in flight, at most for the drain's grace.
func (d *Daemon) finish(ctx context.Context) {
	end := time.Now().Add(d.settings.Drain.Grace)
	for d.busy() > 0 && time.Now().Before(end) {
		if !sleep(ctx, drainPoll) {
			return
		}
	}
}

// busy counts requests in flight, also those whose callers have gone.
func (d *Daemon) busy() int {
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
	state := r.daemon.lifeState()
	if state == stateServing {
		state = stateLeaving
	}
	return operatorapi.DrainState{
		State:    state.String(),
		InFlight: r.daemon.busy(),
	}
}
