// Package forward takes opaque requests to the upstreams of their routes: it checks
// the key, has the stages done, chooses the upstream, repeats what may be repeated
// within a budget, passes events on as they come, and says truthfully what became of
// the request. It does no I/O of its own.
//
//	f := forward.New(cfg)
//	o := f.Serve(ctx, req, answer)
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
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/stagetime"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/upstream"
)

// PromptPart is one part of a prompt. Requests that begin with the same parts share them.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one request of a caller.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them, Path the path alone.
	Target string
	Path   string
	Host   string
	// Header holds what is passed on unchanged.
	Header http.Header
	Body   []byte
	// APIKey is the caller's API key. Empty means none.
	APIKey string
	// Received is when the request arrived, TimeLimit how long the caller waits from
	// then on. Zero means as long as the route allows.
	Received  time.Time
	TimeLimit time.Duration
	// Prompt lists the parts of the prompt, the request's own part last.
	Prompt []PromptPart
	// PieceCounts is the number of pieces of each stage of the route.
	PieceCounts []int
	// InputKey names the input of the first stages.
	InputKey string
	// LastEventID is the last event that the caller has, if HasLastEvent is set.
	LastEventID  int64
	HasLastEvent bool
}

// Call is one attempt at a request.
type Call struct {
	Addr        string
	Incarnation string
	Request     *Request
	Workspace   string
	// Remaining is the time that the upstream has.
	Remaining time.Duration
	// Priority orders an engine's work; a lower value runs first.
	Priority int
	// Engine says that the upstream is a model engine.
	Engine bool
	// Inputs are the results of the stages.
	Inputs []string
	// ResumeAfter is the last event that the caller has, if Resume is set.
	ResumeAfter int64
	Resume      bool
	// Retryable says that the call may run again.
	Retryable bool
}

// Response is the head of an upstream's answer. Body must be closed; its error is io.EOF
// only at the end of a whole body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Verified says that the answer bears the upstream's mark for this request.
	Verified bool
	// NotRun says that the upstream states that it did not run the request.
	NotRun bool
	// WrongInstance says that another process has the upstream's address.
	WrongInstance bool
	// InputGone says that a result of a stage no longer exists.
	InputGone bool
	// Leaving says that the upstream closes the connection.
	Leaving bool
	Load    *upstream.Load
}

// Caller calls upstreams. Errors are *pipeline.CallError.
type Caller interface {
	Call(ctx context.Context, c Call) (*Response, error)
}

// SubmittedJob is the stages of one request, as stagework.SubmittedJob.
type SubmittedJob interface {
	Wait(ctx context.Context) ([]string, error)
	Release()
}

// StageScheduler has the stages of requests done.
type StageScheduler interface {
	Submit(ctx context.Context, j stagework.Job) (SubmittedJob, error)
}

// ResponseWriter is where an answer goes. Whole is called at most once, or Begin at most once
// and then Event; not both.
type ResponseWriter interface {
	WriteResponse(status int, header http.Header, body []byte)
	BeginStream(status int, header http.Header)
	WriteEvent(raw []byte) error
}

// Config configures a Forwarder. Caller, Stages, Upstreams and Table are required.
type Config struct {
	Caller    Caller
	Stages    StageScheduler
	Upstreams *upstream.Set
	// Table returns the routes in force, or nil before any are known.
	Table func() *routing.Table
	// RetryRatio is the part of a service's requests that may be repeated; RetryBurst
	// what all daemons together may repeat beyond that.
	RetryRatio float64
	RetryBurst float64
	// DaemonCount returns how many daemons share the budget. Nil means one.
	DaemonCount func() int
	// MaxResponseBytes bounds an answer that is no stream.
	MaxResponseBytes int64
	Logger           *zap.Logger
}

// defaultMaxAnswerBytes bounds an answer unless the configuration says otherwise.
const defaultMaxResponseBytes = 32 << 20

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	cfg      Config
	times    *stagetime.Tracker
	budgets  sync.Map // service name to *budget.Budget
	inFlight atomic.Int64
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	cfg.MaxResponseBytes = cmp.Or(cfg.MaxResponseBytes, defaultMaxResponseBytes)
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

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// Serve takes a request to an upstream and returns its outcome. An outcome other than
// Answered has not been written to the answer; if its Begin was called, the answer
// must be broken off.
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

// budget returns the budget of repeats of a service. Each daemon has an equal part of
// the burst, so that all of them together stay within it.
func (f *Forwarder) budget(service string) *budget.Budget {
	if b, ok := f.budgets.Load(service); ok {
		return b.(*budget.Budget)
	}
	burst := int(f.cfg.RetryBurst) / max(f.cfg.DaemonCount(), 1)
	b, _ := f.budgets.LoadOrStore(service, budget.New(budget.Config{
		Ratio: f.cfg.RetryRatio,
		Burst: max(burst, 1),
	}))
	return b.(*budget.Budget)
}
