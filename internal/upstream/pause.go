package upstream

import (
	"time"

	"go.uber.org/zap"
)

const (
	// returnFraction is the part of a pause, at most maxReturnSpread, over which the returns of the
	// daemons are spread after its end.
	returnFraction  = 0.2
	maxReturnSpread = time.Second
)

// pause keeps requests from a member for some time, because it asked for that. It is no failure. After
// the pause it gets one attempt at a time until one succeeds.
func (g *group) pause(m *member, length time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	spread := min(time.Duration(returnFraction*float64(length)), maxReturnSpread)
	until := now.Add(length + time.Duration(g.rng.Float64()*float64(spread)))
	if !until.After(m.pausedUntil) {
		return
	}
	m.pausedUntil = until
	m.probation = true
	g.cfg.Logger.Info("upstream asks for a pause", zap.String("upstream", m.host.Incarnation),
		zap.String("addr", m.host.Addr), zap.Duration("length_ms", length))
}
