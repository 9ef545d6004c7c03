package upstream

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/coldstart"
)

var (
	// coldRequestsTotal counts the attempts on cold upstreams.
	coldRequestsTotal = metrics.GetOrCreateCounter("sequoiafork_cold_requests_total")
	// coldLapsedTotal counts the attempts that were not sent to a cold upstream since their turn had lapsed.
	coldLapsedTotal = metrics.GetOrCreateCounter("sequoiafork_cold_turns_lapsed_total")
)

// updateCold adopts what the host of a member says of its being cold.
func (g *group) updateCold(m *member, now time.Time) {
	if m.host.Cold.Limit <= 0 || g.cfg.Cold == nil {
		m.turns = nil
		return
	}
	if m.turns == nil {
		m.turns = coldstart.NewTurns(g.cfg.Cold, m.hash)
	}
	m.turns.Update(m.host.Cold, now)
	if now.Before(m.host.Cold.Until) && !m.loggedCold {
		g.logCold(m, now)
	}
}

// logWarmed logs the members that are not cold any more.
func (g *group) logWarmed(now time.Time) {
	for _, m := range g.order {
		if m.loggedCold && !now.Before(m.host.Cold.Until) {
			g.logWarm(m)
		}
	}
}

func (g *group) logCold(m *member, now time.Time) {
	m.loggedCold = true
	g.cfg.Logger.Info("upstream is cold", zap.String("upstream", m.host.Incarnation), zap.String("addr", m.host.Addr),
		zap.Float64("limit", m.host.Cold.Limit), zap.Int("own", m.turns.Units()), zap.Duration("left_ms", m.host.Cold.Until.Sub(now)))
}

func (g *group) logWarm(m *member) {
	g.cfg.Logger.Info("upstream is no longer cold", zap.String("upstream", m.host.Incarnation), zap.String("addr", m.host.Addr),
		zap.Int("sent_while_cold", m.sentCold))
	m.loggedCold = false
	m.sentCold = 0
}

// cold reports whether the upstream counts as cold.
func (m *member) cold(now time.Time) bool { return m.turns != nil && m.turns.Cold(now) }

// hasTurn reports whether neither a limit of the rate nor being cold keeps a request from the upstream now.
func (m *member) hasTurn(now time.Time) bool {
	return m.pacer.Ready(now) && (m.turns == nil || m.turns.Ready(now))
}

// wait returns how long a request has to wait for its turn, and false if there is none in sight.
func (m *member) wait(now time.Time) (time.Duration, bool) {
	wait, ok := m.pacer.Wait(now)
	if m.turns != nil {
		wait = max(wait, m.turns.Wait(now))
	}
	return wait, ok
}

// retryAfter returns when a request that could not wait for its turn may come back, or zero if it is not known.
func (m *member) retryAfter(random *rand.Rand, now time.Time) time.Duration {
	after := m.pacer.RetryAfter(random, now)
	if m.turns != nil {
		after = max(after, m.turns.RetryAfter(random.Float64(), now))
	}
	return after
}

// takeColdTurn reserves the turn of an attempt that is sent at a time.
func (m *member) takeColdTurn(at, now time.Time) coldstart.Turn {
	if m.turns == nil {
		return coldstart.Turn{}
	}
	turn := m.turns.Take(at, now)
	if turn.Cold() && !at.After(now) {
		m.countCold()
	}
	return turn
}

// beginColdTurn reports whether an attempt that has waited may be sent to the upstream if it is cold.
func (m *member) beginColdTurn(turn coldstart.Turn, now time.Time) bool {
	if m.turns == nil {
		return true
	}
	if !m.turns.Begin(turn, now) {
		coldLapsedTotal.Inc()
		return false
	}
	if turn.Cold() {
		m.countCold()
	}
	return true
}

func (m *member) countCold() {
	m.sentCold++
	coldRequestsTotal.Inc()
}
