package request

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/outcome"
)

var (
	requestSeconds = metrics.GetOrCreateHistogram("sequoiafork_request_seconds")
	counters       sync.Map // counterKey to *metrics.Counter
)

type counterKey struct {
	route, outcome string
	code           outcome.Code
}

func requestCounter(route string, o outcome.Outcome) *metrics.Counter {
	key := counterKey{
		route:   route,
		outcome: outcome.Name(o),
		code:    outcome.CodeOf(o),
	}
	if key.code == outcome.CodeRouteUnknown {
		key.route = "" // arbitrary text from the caller must not become a label
	}
	c, ok := counters.Load(key)
	if !ok {
		name := fmt.Sprintf("sequoiafork_requests_total{route=%q,outcome=%q,code=%q}", key.route, key.outcome, key.code)
		c, _ = counters.LoadOrStore(key, metrics.GetOrCreateCounter(name))
	}
	return c.(*metrics.Counter)
}

// record updates the metrics for o and logs o unless it is an answer.
func (s *Service) record(r Request, o outcome.Outcome, elapsed time.Duration) {
	requestCounter(r.Route, o).Inc()
	requestSeconds.Update(elapsed.Seconds())
	if _, answered := o.(outcome.Answered); answered {
		return
	}
	stage, message := stageAndMessage(o)
	s.cfg.Logger.Info("request not answered",
		zap.String("request_id", r.ID),
		zap.String("route", r.Route),
		zap.String("workspace", r.Workspace),
		zap.String("outcome", outcome.Name(o)),
		zap.String("code", string(outcome.CodeOf(o))),
		zap.String("stage", stage),
		zap.String("cause", message),
		zap.Bool("forwarded", r.Forwarded),
		zap.Duration("took", elapsed))
}

func stageAndMessage(o outcome.Outcome) (stage, message string) {
	switch o := o.(type) {
	case outcome.NotRun:
		return "", o.Message
	case outcome.Failed:
		return o.Stage, o.Message
	case outcome.Unknown:
		return o.Stage, o.Message
	}
	return "", ""
}
