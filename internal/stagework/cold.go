package stagework

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/coldstart"
)

// coldCallsTotal counts the calls to cold stage upstreams.
var coldCallsTotal = metrics.GetOrCreateCounter("sequoiafork_cold_stage_calls_total")

// updateCold adopts what is known of an upstream being cold. The caller holds the lock.
func (s *Scheduler) updateCold(u *upstream, m coldstart.Mark, now time.Time) {
	before := u.Cold
	u.Cold = m
	if m.Limit <= 0 || s.cfg.Cold == nil {
		u.turns = nil
		return
	}
	if u.turns == nil {
		u.turns = coldstart.NewOwnerTurns(s.cfg.Cold)
	}
	u.turns.Update(m, now)
	if now.Before(m.Until) && before != m {
		s.cfg.Logger.Info("stage upstream is cold", zap.String("upstream", u.Incarnation), zap.Float64("limit", m.Limit),
			zap.Int("own", u.turns.Units()), zap.Duration("left_ms", m.Until.Sub(now)))
	}
}

// cold reports whether the upstream counts as cold.
func (u *upstream) cold(now time.Time) bool { return u.turns != nil && u.turns.Cold(now) }

// coldWithoutTurnsUntil returns when the upstream is warm if this daemon has no turns until then, otherwise zero.
func (u *upstream) coldWithoutTurnsUntil(now time.Time) time.Time {
	if !u.cold(now) || u.turns.Units() > 0 {
		return time.Time{}
	}
	return now.Add(u.turns.Wait(now))
}

// hasTurn reports whether neither a limit of the rate nor being cold keeps a call from the upstream now.
func (u *upstream) hasTurn(now time.Time) bool {
	return u.pacer.Ready(now) && (u.turns == nil || u.turns.Ready(now))
}

// takeTurn records that a call is made.
func (u *upstream) takeTurn(now time.Time) {
	u.pacer.Take(now)
	if u.turns != nil && u.turns.Take(now, now).Cold() {
		coldCallsTotal.Inc()
	}
}
