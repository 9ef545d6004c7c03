package pipeline

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// poolMetrics caches the counters of one pool, because formatting their names is expensive.
type poolMetrics struct {
	results, reused, retries, hedges *metrics.Counter
	seconds                          *metrics.FloatCounter
	attempts                         sync.Map // outcome label to *metrics.Counter
	pool                             string
}

var byPool sync.Map // pool name to *poolMetrics

func metricsOf(pool string) *poolMetrics {
	if m, ok := byPool.Load(pool); ok {
		return m.(*poolMetrics)
	}
	m, _ := byPool.LoadOrStore(pool, &poolMetrics{
		results: metrics.GetOrCreateCounter(fmt.Sprintf("sequoiafork_stage_results_total{pool=%q}", pool)),
		reused:  metrics.GetOrCreateCounter(fmt.Sprintf("sequoiafork_stage_reused_total{pool=%q}", pool)),
		retries: metrics.GetOrCreateCounter(fmt.Sprintf("sequoiafork_retries_total{pool=%q}", pool)),
		hedges:  metrics.GetOrCreateCounter(fmt.Sprintf("sequoiafork_hedges_total{pool=%q}", pool)),
		seconds: metrics.GetOrCreateFloatCounter(fmt.Sprintf("sequoiafork_upstream_seconds_total{pool=%q}", pool)),
		pool:    pool,
	})
	return m.(*poolMetrics)
}

func observeStage(pool string, reused bool) {
	m := metricsOf(pool)
	m.results.Inc()
	if reused {
		m.reused.Inc()
	}
}

func observeRetry(pool string) { metricsOf(pool).retries.Inc() }

func observeHedge(pool string) { metricsOf(pool).hedges.Inc() }

func observeAttempt(pool, label string, took time.Duration) {
	m := metricsOf(pool)
	m.seconds.Add(took.Seconds())
	c, ok := m.attempts.Load(label)
	if !ok {
		c, _ = m.attempts.LoadOrStore(label, metrics.GetOrCreateCounter(
			fmt.Sprintf("sequoiafork_attempts_total{pool=%q,outcome=%q}", pool, label)))
	}
	c.(*metrics.Counter).Inc()
}
