package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/quarantine"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/streamorigin"
	"sequoiafork/internal/upstream"
)

const (
	// notReadyRetryAfter is the Retry-After delay of a daemon that knows no routes yet.
	notReadyRetryAfter = 300 * time.Millisecond
	// noUpstreamRetryAfter is the Retry-After delay unless an upstream is expected to be
	// available sooner.
	noUpstreamRetryAfter = 500 * time.Millisecond
	// defaultFirstEventTime is the assumed time to the first event before any was
	// measured.
	defaultFirstEventTime = 200 * time.Millisecond
	// firstEventQuantile is the quantile of recent times to the first event that is
	// reserved for the upstream after the stages.
	firstEventQuantile = 0.75
	// minProducers replaces zero for data centres that produce no stage results, so that
	// their weight is not zero.
	minProducers = 0.1
	// patienceFactor is the number of latency objectives for which a caller waits for the start
	// of a response, or for its next event.
	patienceFactor = 4
	// maxRejections bounds the retries of one request after rejections by upstreams.
	maxRejections = 3
)

// errStopping ends requests because the process stops.
var errStopping = errors.New("the daemon is stopping")

// execution is the state of one request while it is served.
type execution struct {
	forwarder *Forwarder
	req       *Request
	writer    ResponseWriter

	table     *routing.Table
	route     routing.Route
	service   routing.Service
	workspace routing.Workspace
	priority  int
	deadline  time.Time

	job    SubmittedJob
	inputs []string

	tried           []string
	attempts        int // attempts that an upstream may have acted on
	rejections      int
	responseStarted bool
	position
	lastEventAt time.Time // zero: no event has been forwarded
	// origin is where the stream began, nil if it may begin anywhere.
	origin *streamorigin.Origin
	// keys identify what the request shares with others. They are computed when they are needed first.
	keys     []quarantine.Key
	keysOnce sync.Once
	// lastFailure is the error of the last failed attempt; it goes into the outcome.
	lastFailure *pipeline.CallError
}

// prepare determines the route, the service, the workspace and the deadline, or rejects
// the request.
func (x *execution) prepare() *outcome.NotRun {
	x.table = x.forwarder.cfg.Table()
	if x.table == nil {
		return x.notRun(outcome.CodeNotReady, "no routes are known yet", notReadyRetryAfter)
	}
	route, ok := x.table.Match(x.req.Host, x.req.Path)
	if !ok {
		return x.notRun(outcome.CodeRouteUnknown, "no route for this host and path", 0)
	}
	x.route = route
	x.priority = route.Priority
	if x.table.RequiresKey() && !route.Public {
		x.workspace, ok = x.table.Workspace(x.req.APIKey)
		if !ok {
			return x.notRun(outcome.CodeAPIKeyUnknown, "the API key is not known", 0)
		}
		if x.workspace.HasPriority {
			x.priority = x.workspace.Priority
		}
	}
	service := route.PickService(xxhash.Sum64String(x.beganBy()))
	x.service, ok = x.table.Service(service)
	if !ok {
		return x.notRun(outcome.CodeNoUpstream, "the route's service is not known", noUpstreamRetryAfter)
	}
	limit := route.Timeout
	if x.req.TimeLimit > 0 && (limit <= 0 || x.req.TimeLimit < limit) {
		limit = x.req.TimeLimit
	}
	if limit <= 0 {
		limit = routing.DefaultTimeout
	}
	x.deadline = x.req.Received.Add(limit)
	if !time.Now().Before(x.deadline) {
		return x.notRun(outcome.CodeDeadlinePast, "the deadline has passed", 0)
	}
	if x.forwarder.stop.Load().rejects(time.Now(), x.deadline) {
		return x.notRun(outcome.CodeDraining, "the daemon stops before the deadline of the request", notReadyRetryAfter)
	}
	x.lastID, x.hasLastID = x.req.LastEventID, x.req.HasLastEvent
	return nil
}

func (x *execution) serve(ctx context.Context) outcome.Outcome {
	if !x.route.Kind.Retryable() && !x.route.Kind.Streams() {
		// A non-idempotent call is not cancelled when the caller disconnects, so that its
		// outcome is known whenever it took effect.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	x.forwarder.running.Store(x, end)
	defer x.forwarder.running.Delete(x)
	if x.forwarder.stopping.Load() {
		end(errStopping)
	}
	if unknown := x.findOrigin(ctx); unknown != nil {
		return *unknown
	}
	if err := x.admit(); err != nil {
		return x.failureOutcome(ctx, err)
	}
	if failed := x.runStages(ctx); failed != nil {
		return failed
	}
	defer x.releaseJob()
	x.retryBudget().Deposit()
	if x.route.Kind.Streams() {
		return x.serveStream(ctx)
	}
	return x.serveBuffered(ctx)
}

// runStages runs the request's stages. It returns an outcome if they failed, otherwise
// nil.
func (x *execution) runStages(ctx context.Context) outcome.Outcome {
	stages := x.requestStages()
	if stages == nil {
		return nil
	}
	r := runJob(ctx, x.forwarder.cfg.Stages, x.stageJob(stages))
	if r.err != nil {
		return x.stageFailure(ctx, r.err)
	}
	x.job, x.inputs = r.job, r.inputs
	return nil
}

// stageJob returns the job of the request's stages.
func (x *execution) stageJob(stages []stagework.Stage) stagework.Job {
	return stagework.Job{
		RequestID:       x.req.ID,
		InputKey:        x.req.InputKey,
		Workspace:       x.workspace.Name,
		Priority:        x.priority,
		SoftDeadline:    x.req.Received.Add(x.route.LatencyObjective),
		Deadline:        x.deadline,
		Patience:        x.patience(),
		TimeAfterStages: x.firstEventTime(),
		DataCentre:      x.forwarder.cfg.Upstreams.PreferredDataCentre(x.upstreamRequest()),
		Stages:          stages,
	}
}

// patience returns when the caller is expected to give up: patienceFactor latency objectives
// after the request or, if a response has started, after its last event.
// It is zero, the deadline, if the route has no objective.
func (x *execution) patience() time.Time {
	if x.route.LatencyObjective <= 0 {
		return time.Time{}
	}
	since := x.req.Received
	if x.lastEventAt.After(since) {
		since = x.lastEventAt
	}
	return since.Add(patienceFactor * x.route.LatencyObjective)
}

// requestStages returns the route's stages with the request's piece counts, or nil if the
// request has no pieces.
func (x *execution) requestStages() []stagework.Stage {
	var stages []stagework.Stage
	hasPieces := false
	for i, st := range x.route.Stages {
		pieces := 0
		if i < len(x.req.PieceCounts) {
			pieces = x.req.PieceCounts[i]
		}
		hasPieces = hasPieces || pieces > 0
		stages = append(stages, stagework.Stage{
			Service:     st.Service,
			DependsOn:   st.DependsOn,
			Pieces:      pieces,
			ResultBytes: st.ResultBytes,
		})
	}
	if !hasPieces {
		return nil
	}
	return stages
}

func (x *execution) releaseJob() {
	if x.job != nil {
		x.job.Release()
		x.job = nil
	}
}

// firstEventTime returns the estimated time from a call to the first event on this
// route.
func (x *execution) firstEventTime() time.Duration {
	if d, ok := x.forwarder.times.Quantile(x.route.Name, firstEventQuantile); ok {
		return d
	}
	return defaultFirstEventTime
}

func (x *execution) call(choice upstream.Choice) Call {
	return Call{
		Addr:        choice.Addr,
		Incarnation: choice.Incarnation,
		Request:     x.req,
		Workspace:   x.workspace.Name,
		Remaining:   time.Until(x.deadline),
		Priority:    x.priority,
		Engine:      x.service.Engine != nil,
		Inputs:      x.inputs,
		ResumeAfter: x.lastID,
		Resume:      x.hasLastID,
		Retryable:   x.route.Kind.Retryable(),
	}
}

// countFailure counts a failed attempt by whether the upstream may have run it or
// rejected it. An attempt that was not sent counts as neither.
func (x *execution) countFailure(failure *pipeline.CallError) {
	x.lastFailure = failure
	switch {
	case failure.Execution >= pipeline.MayHaveRun:
		x.attempts++
	case failure.Execution > pipeline.NotSent:
		x.rejections++
	}
}

// mayRetry records a failed attempt and reports whether the request may be tried again.
// A retry of an attempt that did not reach an upstream is free; any other retry draws on
// the retry budget. pending is the number of attempts in progress.
func (x *execution) mayRetry(ctx context.Context, failure *pipeline.CallError, pending int) bool {
	x.countFailure(failure)
	if ctx.Err() != nil {
		return false
	}
	switch {
	case failure.Execution == pipeline.NotSent:
		return len(x.tried) <= x.route.MaxAttempts+maxRejections
	case failure.Execution < pipeline.MayHaveRun:
		if x.rejections > maxRejections {
			return false
		}
	case !x.route.Kind.Retryable() || x.attempts+pending >= max(x.route.MaxAttempts, 1):
		return false
	}
	if x.admit() != nil {
		return false
	}
	return x.retryBudget().Withdraw()
}

// reportResult reports the result of an attempt to the upstream set, and logs a failure.
func (x *execution) reportResult(choice upstream.Choice, began time.Time, first time.Duration, responseStarted bool, failure *pipeline.CallError, load *upstream.Load) {
	res := upstream.Result{
		Outcome:         upstream.OK,
		Latency:         first,
		ResponseStarted: responseStarted,
		Load:            load,
	}
	if failure == nil {
		choice.Done(res)
		x.recordSuccess()
		return
	}
	res.Latency = time.Since(began)
	switch {
	case errors.Is(failure.Err, context.Canceled) || errors.Is(failure.Err, errNoTurn) || errors.Is(failure.Err, errHedgeNotNeeded) || errors.Is(failure.Err, errSecondFaster):
		res.Outcome = upstream.Cancelled
	case failure.TimedOut:
		res.Outcome = upstream.TimedOut
	case failure.Execution == pipeline.RefusedLeaving:
		res.Outcome = upstream.RefusedLeaving
	case failure.Execution == pipeline.NotSent:
		res.Outcome = upstream.ConnectFailed
	case failure.Execution == pipeline.Refused || failure.Overloaded:
		res.Outcome = upstream.Overloaded
	default:
		res.Outcome = upstream.Failed
	}
	choice.Done(res)
	x.forwarder.cfg.Logger.Info("attempt failed",
		zap.String("request_id", x.req.ID), zap.String("upstream", choice.Incarnation), zap.String("addr", choice.Addr), zap.String("version", choice.Version),
		zap.Int("reach", int(failure.Execution)), zap.Duration("took_ms", res.Latency), zap.Error(failure.Err),
		zap.Bool("begun", responseStarted), zap.Strings("prompt_parts", x.req.sharedParts()), zap.Stringer("content", x.contentKey()))
	x.recordBroken(choice, began, first, failure)
}
