// Package forward forwards opaque requests to the upstreams of their routes. It checks
// the API key, has the stages run, picks an upstream, retries and hedges within a retry
// budget, forwards streamed events as they arrive, and returns the outcome of the
// request. It does no I/O of its own.
//
// An incarnation is one run of an upstream process. A piece is one unit of a stage's
// work.
//
//	f := forward.New(cfg)
//	o := f.Serve(ctx, req, w)
package forward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/budget"
	"sequoiafork/internal/bytequota"
	"sequoiafork/internal/hedge"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/quarantine"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/stagetime"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/streamorigin"
	"sequoiafork/internal/upstream"
)

// PromptPart is one part of a prompt. Prompts that begin with the same parts share a
// prefix.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them; Path is the path alone.
	Target string
	Path   string
	Host   string
	// Header holds the header fields that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// APIKey is the caller's API key. Empty means none.
	APIKey string
	// Received is the arrival time. TimeLimit is how long the caller waits from then on;
	// zero means as long as the route allows.
	Received  time.Time
	TimeLimit time.Duration
	// Prompt lists the parts of the prompt, the request's own part last.
	Prompt []PromptPart
	// PieceCounts is the number of pieces of each stage of the route.
	PieceCounts []int
	// InputKey identifies the input of the first stages.
	InputKey string
	// LastEventID is the ID of the last event that the caller received. It is valid if
	// HasLastEvent is set.
	LastEventID  int64
	HasLastEvent bool
	// Resumes is the ID of the caller's earlier request that brought the first event of the stream that
	// this one takes up. Empty means none, or that the caller doesn't say.
	Resumes string
}

// sharedParts returns the IDs of the parts of the prompt that other requests may have: all but the last.
func (r *Request) sharedParts() []string {
	if len(r.Prompt) < 2 {
		return nil
	}
	ids := make([]string, 0, len(r.Prompt)-1)
	for _, p := range r.Prompt[:len(r.Prompt)-1] {
		ids = append(ids, p.ID)
	}
	return ids
}

// Call is one attempt at a request.
type Call struct {
	Addr        string
	Incarnation string
	Request     *Request
	Workspace   string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Priority orders an engine's work; a lower value runs first.
	Priority int
	// Engine reports that the upstream is an engine (a model server).
	Engine bool
	// Inputs are the handles of the stage results.
	Inputs []string
	// ResumeAfter is the ID of the last event that the caller received. It is valid if
	// Resume is set.
	ResumeAfter int64
	Resume      bool
	// Retryable reports that the request may run more than once.
	Retryable bool
}

// Response is an upstream's response with an unread body. Body must be closed; reading it
// returns io.EOF only at the end of a complete body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Verified reports that the response carries the upstream's stamp and the ID of this
	// request.
	Verified bool
	// NotRun reports that the upstream states that it did not run the request.
	NotRun bool
	// OtherIncarnation reports that another incarnation has the upstream's address.
	OtherIncarnation bool
	// InputMissing reports that a stage result no longer exists.
	InputMissing bool
	// Draining reports that the upstream is draining and closes the connection.
	Draining bool
	Load     *upstream.Load
	// Notice is what the upstream says of itself. It is empty if OtherIncarnation is set.
	Notice upstream.Notice
}

// UpstreamClient calls upstreams. Errors are *pipeline.CallError.
type UpstreamClient interface {
	Call(ctx context.Context, c Call) (*Response, error)
}

// SubmittedJob is the handle of the stage job of one request. Its methods
// behave like those of stagework.SubmittedJob.
type SubmittedJob interface {
	Wait(ctx context.Context) ([]string, error)
	Release()
}

// StageScheduler runs the stages of requests.
type StageScheduler interface {
	Submit(ctx context.Context, j stagework.Job) (SubmittedJob, error)
}

// StreamOrigins keeps and finds the origins of streams, also of those that other daemons began.
type StreamOrigins interface {
	// Begin records that the first event of the response to a request was forwarded.
	Begin(requestID string, o streamorigin.Origin)
	// Find returns where the stream began that a request of a service began. The error is a
	// *streamorigin.UnknownError.
	Find(ctx context.Context, requestID, service string) (streamorigin.Origin, error)
}

// BrokenAttempt is an attempt whose connection broke before the response was complete or settled.
type BrokenAttempt struct {
	Addr        string
	Incarnation string
	Request     quarantine.Request
	Began       time.Time
}

// Quarantine keeps requests from upstreams that such requests have ended. Admit and BeginAttempt behave like those
// of quarantine.Registry.
type Quarantine interface {
	// Active reports whether any keys are suspected. While it is false, requests need not be admitted.
	Active() bool
	// Admit may block for a moment while it is decided whether the request is held.
	Admit(req quarantine.Request) error
	BeginAttempt(req quarantine.Request) error
	// Broke records broken attempts at one upstream. It may block for a moment to find out whether the upstream has
	// ended.
	Broke(list ...BrokenAttempt)
	// Succeeded records that the response to a request is complete or has settled. NoteSuccess is enough for each
	// of its keys while none are suspected.
	Succeeded(req quarantine.Request)
	NoteSuccess(k quarantine.Key)
}

// ResponseWriter writes the response to the caller: either one call of WriteResponse, or one
// call of BeginStream followed by calls of WriteEvent, never both.
type ResponseWriter interface {
	WriteResponse(status int, header http.Header, body []byte)
	BeginStream(status int, header http.Header)
	WriteEvent(raw []byte) error
}

// Config configures a Forwarder. Client, Stages, Upstreams and Table are required.
type Config struct {
	Client    UpstreamClient
	Stages    StageScheduler
	Upstreams *upstream.Set
	// Origins may be nil; a stream that a caller takes up then goes on at any version.
	Origins StreamOrigins
	// Quarantine may be nil; every request is then sent.
	Quarantine Quarantine
	// Table returns the routes in effect, or nil before any are known.
	Table func() *routing.Table
	// RetryRatio is the fraction of a service's requests that may be retried. RetryBurst
	// is the number of retries beyond that for all daemons together.
	RetryRatio float64
	RetryBurst float64
	// Hedge decides about hedges within a budget of work. If it is nil or not enabled, idempotent requests are hedged
	// after a part of the latency objective instead.
	Hedge *hedge.Decider
	// DaemonCount returns how many daemons share the budget. Nil means one.
	DaemonCount func() int
	// MaxResponseBytes bounds a buffered response. Zero means 32 MiB.
	MaxResponseBytes int64
	// Memory is shared by the buffers of all responses. Nil means a quota with the default
	// size.
	Memory *bytequota.Quota
	Logger *zap.Logger
}

const defaultMaxResponseBytes = 32 << 20

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	cfg      Config
	times    *stagetime.Tracker
	budgets  sync.Map // service name to *budget.Budget
	inFlight atomic.Int64
	// stopping reports that requests are to end at once. running holds a
	// context.CancelCauseFunc for each *execution in progress.
	stopping atomic.Bool
	running  sync.Map
	// stop is nil before StopAt.
	stop atomic.Pointer[Stop]
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder {
	cfg.MaxResponseBytes = cmp.Or(cfg.MaxResponseBytes, defaultMaxResponseBytes)
	if cfg.Memory == nil {
		cfg.Memory = bytequota.New(bytequota.Config{})
	}
	if cfg.DaemonCount == nil {
		cfg.DaemonCount = func() int { return 1 }
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Forwarder{
		cfg:   cfg,
		times: stagetime.New(stagetime.Config{}),
	}
}

// EndRequests ends all requests at once, since the process stops: those that have not begun to
// respond get an outcome that tells whether they may have run.
func (f *Forwarder) EndRequests() {
	f.stopping.Store(true)
	f.running.Range(func(_, end any) bool {
		end.(context.CancelCauseFunc)(errStopping)
		return true
	})
}

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// Serve forwards a request to an upstream and returns its outcome. Nothing is written to
// w for an outcome other than Answered, except that a stream may have begun; the caller
// of Serve must then abort the response.
func (f *Forwarder) Serve(ctx context.Context, req Request, w ResponseWriter) outcome.Outcome {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	x := &execution{
		forwarder: f,
		req:       &req,
		writer:    w,
	}
	if rejected := x.prepare(); rejected != nil {
		x.recordOutcome(*rejected)
		return *rejected
	}
	o := x.serve(ctx)
	x.recordOutcome(o)
	return o
}

// budget returns the retry budget of a service. Each daemon gets an equal share of the
// burst, so that all of them together stay within it.
func (f *Forwarder) budget(service string) *budget.Budget {
	burst := max(int(f.cfg.RetryBurst)/max(f.cfg.DaemonCount(), 1), 1)
	if b, ok := f.budgets.Load(service); ok {
		b := b.(*budget.Budget)
		b.SetBurst(burst)
		return b
	}
	b, _ := f.budgets.LoadOrStore(service, budget.New(budget.Config{
		Ratio: f.cfg.RetryRatio,
		Burst: burst,
	}))
	return b.(*budget.Budget)
}
