package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/streamorigin"
	"sequoiafork/internal/upstream"
)

// originRetryAfter is the Retry-After delay of a stream whose origin is not known here. It is short, so that the
// caller can come to a daemon that knows it.
const originRetryAfter = 200 * time.Millisecond

var (
	// streamsResumedTotal counts the requests of callers that take up a stream.
	streamsResumedTotal = metrics.GetOrCreateCounter("sequoiafork_streams_resumed_total")
	// streamsNotResumedTotal counts those that are refused since their stream can't go on where it began.
	streamsNotResumedTotal = metrics.GetOrCreateCounter("sequoiafork_streams_not_resumed_total")
)

// resumes reports whether the request takes up a stream that an earlier request of its caller began.
func (r *Request) resumes() bool { return r.Resumes != "" || r.HasLastEvent }

// beganBy returns the ID of the request that began the stream: this one unless it takes up a stream.
func (x *execution) beganBy() string {
	if x.route.Kind == routing.ResumableStream && x.req.Resumes != "" {
		return x.req.Resumes
	}
	return x.req.ID
}

// findOrigin finds where the stream began that the request takes up, so that it goes on at that service and
// version. It returns an outcome if the stream can't go on there.
func (x *execution) findOrigin(ctx context.Context) *outcome.NotRun {
	if x.route.Kind != routing.ResumableStream || !x.req.resumes() || x.forwarder.cfg.Origins == nil {
		return nil
	}
	o, err := x.lookUpOrigin(ctx)
	if err == nil {
		err = x.useService(o.Service)
	}
	if err == nil && !x.forwarder.cfg.Upstreams.HasVersion(o.Service, o.Version) {
		err = &noVersionError{
			origin: o,
		}
	}
	if err != nil {
		streamsNotResumedTotal.Inc()
		return x.notRun(outcome.CodeNoUpstream, err.Error(), retryAfterOrigin(err))
	}
	x.origin = &o
	return nil
}

// lookUpOrigin returns the origin of the stream that the request takes up. On a split route, nobody can tell the service of
// a stream whose caller does not name the request that began it.
func (x *execution) lookUpOrigin(ctx context.Context) (streamorigin.Origin, error) {
	if x.req.Resumes == "" && x.route.Splits() {
		return streamorigin.Origin{}, &streamorigin.UnknownError{
			Service: x.service.Name,
			Cause:   errSplitRoute,
		}
	}
	return x.forwarder.cfg.Origins.Find(ctx, x.req.Resumes, x.service.Name)
}

// errSplitRoute reports a stream whose service is not known.
var errSplitRoute = errors.New("its route leads to several services, and the request that began it is not named")

// retryAfterOrigin returns the Retry-After delay of a stream that can't go on where it began.
func retryAfterOrigin(err error) time.Duration {
	var unknown *streamorigin.UnknownError
	if errors.As(err, &unknown) {
		return originRetryAfter
	}
	return noUpstreamRetryAfter
}

// errServiceNotOnRoute reports a stream that began at a service to which its route no longer leads.
var errServiceNotOnRoute = errors.New("the route no longer leads to the service at which the stream began")

// useService makes the request go to the service at which its stream began.
func (x *execution) useService(name string) error {
	if name == x.service.Name {
		return nil
	}
	onRoute := slices.ContainsFunc(x.route.Targets, func(t routing.Target) bool { return t.Service == name && t.Weight > 0 })
	service, ok := x.table.Service(name)
	if !onRoute || !ok {
		return fmt.Errorf("service %s: %w", name, errServiceNotOnRoute)
	}
	x.service = service
	return nil
}

// noVersionError reports that no upstream has the version at which a stream began.
type noVersionError struct {
	origin streamorigin.Origin
}

// Error implements error.
func (e *noVersionError) Error() string {
	return fmt.Sprintf("no upstream of service %s that takes work has version %q, at which the stream began", e.origin.Service, e.origin.Version)
}

// setOrigin records where the stream begins, when its first event is forwarded. From then on it goes on
// only there.
func (x *execution) setOrigin(choice upstream.Choice) {
	if x.origin == nil {
		x.origin = &streamorigin.Origin{
			Service: x.service.Name,
			Version: choice.Version,
		}
	}
	if x.forwarder.cfg.Origins != nil && x.route.Kind == routing.ResumableStream {
		x.forwarder.cfg.Origins.Begin(x.req.ID, *x.origin)
	}
}

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
