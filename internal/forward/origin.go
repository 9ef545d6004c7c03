package forward

import (
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/upstream"
)

// streamsResumedTotal counts the requests of callers that take up a stream.
var streamsResumedTotal = metrics.GetOrCreateCounter("sequoiafork_streams_resumed_total")

// resumes reports whether the request takes up a stream that an earlier request of its caller began.
func (r *Request) resumes() bool { return r.Resumes != "" || r.HasLastEvent }

// logResumption logs at which upstream a stream goes on that a caller takes up, and which request began it.
func (x *execution) logResumption(choice upstream.Choice) {
	if !x.req.resumes() || !x.route.Kind.Streams() {
		return
	}
	if len(x.tried) == 1 {
		streamsResumedTotal.Inc()
	}
	x.forwarder.cfg.Logger.Info("stream taken up by its caller",
		zap.String("request_id", x.req.ID), zap.String("begun_by", x.req.Resumes), zap.Int64("last_event_id", x.lastID),
		zap.String("service", x.service.Name), zap.String("upstream", choice.Incarnation), zap.String("version", choice.Version))
}
