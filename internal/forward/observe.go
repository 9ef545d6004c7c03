package forward

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/logging"
	"sequoiafork/internal/outcome"
)

// recordOutcome updates the metrics and logs the outcome of a request. Log lines of
// answered requests are sampled.
func (x *execution) recordOutcome(o outcome.Outcome) {
	took := time.Since(x.req.Received)
	name := outcome.Name(o)
	metrics.GetOrCreateCounter(fmt.Sprintf(`sequoiafork_requests_total{route=%q,outcome=%q,code=%q}`, x.route.Name, name, outcome.CodeOf(o))).Inc()
	metrics.GetOrCreatePrometheusHistogram(fmt.Sprintf(`sequoiafork_request_seconds{route=%q}`, x.route.Name)).Update(took.Seconds())
	_, answered := o.(outcome.Answered)
	if answered && !logging.Sampled(x.req.ID) {
		return
	}
	fields := []zap.Field{
		zap.String("request_id", x.req.ID),
		zap.String("outcome", name),
		zap.String("code", string(outcome.CodeOf(o))),
		zap.String("route", x.route.Name),
		zap.String("kind", x.route.Kind.String()),
		zap.String("workspace", x.workspace.Name),
		zap.Duration("took_ms", took),
		zap.Duration("time_limit_ms", x.deadline.Sub(x.req.Received)),
		zap.Ints("pieces", x.req.PieceCounts),
		zap.Strings("upstreams", x.tried),
	}
	if x.table != nil {
		fields = append(fields, zap.Uint64("config_version", x.table.Version()))
	}
	if !answered && x.responseStarted {
		metrics.GetOrCreateCounter(fmt.Sprintf(`sequoiafork_responses_cut_total{route=%q,code=%q}`, x.route.Name, outcome.CodeOf(o))).Inc()
		fields = append(fields, zap.Bool("response_cut", true), zap.Int64("last_event_id", x.lastID), zap.Int("attempts", x.attempts),
			zap.Duration("silent_ms", time.Since(x.lastEventAt)), zap.Int("retry_budget", x.retryBudget().Balance()))
	}
	if !answered {
		message, retry := outcomeDetail(o)
		fields = append(fields, zap.String("detail", message), zap.Duration("retry_after_ms", retry))
	}
	x.forwarder.cfg.Logger.Info("request ended", fields...)
}

// outcomeDetail returns the message and the Retry-After delay of an outcome.
func outcomeDetail(o outcome.Outcome) (string, time.Duration) {
	switch o := o.(type) {
	case outcome.NotRun:
		return o.Message, o.RetryAfter
	case outcome.Failed:
		return o.Message, o.RetryAfter
	case outcome.Unknown:
		return o.Message, o.RetryAfter
	}
	return "", 0
}
