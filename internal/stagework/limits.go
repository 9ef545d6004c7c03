package stagework

import (
	"math"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/ratelimit"
)

// callsPerMemoryCycle is how many calls it takes to fill the memory of an upstream with large results and
// to free it.
const callsPerMemoryCycle = 3.0

// ObserveLimit records the limit of the rate of calls that an upstream names in its responses.
func (s *Scheduler) ObserveLimit(incarnation string, l ratelimit.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, svc := range s.services {
		u, ok := svc.upstreams[incarnation]
		if !ok || !u.pacer.Observe(l, 0, 1, now) {
			continue
		}
		limit := u.pacer.Limit()
		s.cfg.Logger.Info("stage upstream has changed the limit of its rate", zap.String("upstream", u.Incarnation),
			zap.Bool("limited", limit.Limited), zap.Float64("per_second", limit.PerSecond))
	}
}

// ObservePause records that an upstream wants no calls from this daemon until a time. It is no failure.
func (s *Scheduler) ObservePause(incarnation string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.services {
		u, ok := svc.upstreams[incarnation]
		if !ok || !until.After(u.pausedUntil) {
			continue
		}
		u.pausedUntil = until
		s.cfg.Logger.Info("stage upstream asks for a pause", zap.String("upstream", u.Incarnation),
			zap.Duration("length_ms", time.Until(until)))
	}
}

// paused reports whether the upstream has asked for a pause that lasts.
func (u *upstream) paused(now time.Time) bool { return now.Before(u.pausedUntil) }

// restrained reports whether the upstream gets no calls but those that run pieces: it limits the rate of
// calls, or wants none at all.
func (u *upstream) restrained(now time.Time) bool { return u.limited() || u.paused(now) }

// freeLimited frees the pending results of an upstream that limits its rate, in the place of a call that
// runs pieces, if that at least doubles its free memory. Load it answers: large results, of which
// two or three calls fill the memory.
func (s *Scheduler) freeLimited(svc *service, u *upstream, now time.Time) {
	if !u.restrained(now) {
		s.startFreeing(u) // What waited for the end of a limit or of a pause.
		return
	}
	if u.paused(now) || u.freeing || u.bytesToFree <= u.freeMemory(svc.spec.ResultMemoryBytes) || !u.hasTurn(now) {
		return
	}
	u.takeTurn(now)
	s.startFreeing(u)
}

// limitedResultTime returns how long a result takes up memory of an upstream that limits its rate: some
// calls fill the memory, and one frees it, unless the results expire before.
func (svc *service) limitedResultTime(u *upstream) time.Duration {
	cycle := time.Duration(callsPerMemoryCycle / u.perSecond() * float64(time.Second))
	return max(min(cycle, svc.spec.ResultLifetime), svc.resultTime())
}

// limited reports whether the upstream limits the rate of calls, or gets few because it is cold.
func (u *upstream) limited() bool { return u.pacer.Limit().Limited || u.cold(time.Now()) }

// perSecond returns the rate of calls that an upstream with a limited rate takes from this daemon, if it takes any.
func (u *upstream) perSecond() float64 {
	perSecond := math.Inf(1)
	if l := u.pacer.Limit(); l.Limited {
		perSecond = l.PerSecond
	}
	if u.cold(time.Now()) && u.turns.Units() > 0 {
		perSecond = min(perSecond, u.turns.PerSecond())
	}
	return perSecond
}

// callsPerCallTime returns how many calls the upstream takes in the duration of one call.
func (u *upstream) callsPerCallTime(d time.Duration) float64 {
	if !u.limited() {
		return math.Inf(1)
	}
	return u.perSecond() * d.Seconds()
}
