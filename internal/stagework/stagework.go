// Package stagework schedules the stages that requests need before they go to their
// upstream. One Scheduler owns the upstreams of all stage services: it fills batches
// over all requests in order of urgency, accounts for the memory that results take
// on each upstream, frees results the moment nobody needs them, and refuses a request
// at once if its stages can't be done in time. It answers the load of a deployment
// whose stage upstreams are nearly full: a batch costs much more than a piece.
//
//	s := stagework.New(stagework.Config{Invoker: invoker})
//	s.SetServices(services)
//	s.SetUpstreams(upstreams)
//	ticket, err := s.Submit(job)
//	handles, err := ticket.Wait(ctx)
//	ticket.Release()
package stagework

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/routing"
)

// Upstream is one process that does stages.
type Upstream struct {
	Incarnation string
	Addr        string
	DataCentre  string
	Service     string
}

// Item is one piece of a stage in a call.
type Item struct {
	RequestID string
	Stage     int
	Piece     int
	// TimeLeft is the time that the piece may still take.
	TimeLeft time.Duration
	// InputKey names the input of a stage that comes after no other.
	InputKey string
	// Inputs are the handles of the results that the stage takes.
	Inputs []string
}

// ItemStatus says why a piece has no result.
type ItemStatus int

// The reasons. Done means that there is a result.
const (
	Done ItemStatus = iota
	// DeadlineExceeded means that the piece's time had passed at its turn.
	DeadlineExceeded
	// InputGone means that a result that the piece takes no longer exists.
	InputGone
	// InsufficientMemory means that the upstream has no memory for the result.
	InsufficientMemory
	// ItemFailed means that the piece was worked on and failed.
	ItemFailed
)

// ItemResult is what became of an item.
type ItemResult struct {
	Handle string
	Status ItemStatus
}

// FullError reports that an upstream refused a call without working on it.
type FullError struct {
	Addr string
}

// Error names the upstream.
func (e *FullError) Error() string { return "stage upstream " + e.Addr + " is full" }

// Invoker calls the upstreams of stages.
type Invoker interface {
	// Run returns a result for each item, in order.
	Run(ctx context.Context, u Upstream, items []Item) ([]ItemResult, error)
	// Free gives results up.
	Free(ctx context.Context, u Upstream, handles []string) error
	// FreeMemory returns the most memory for results that can be free, in bytes.
	FreeMemory(ctx context.Context, u Upstream) (int64, error)
}

// Stage is one stage of a job.
type Stage struct {
	Service     string
	DependsOn   []int
	Pieces      int
	ResultBytes int64
}

// Job is the stages of one request.
type Job struct {
	RequestID string
	InputKey  string
	// Priority orders jobs; zero goes first.
	Priority int
	// SoftDeadline is when the request's answer should begin, Deadline when the caller
	// gives up.
	SoftDeadline time.Time
	Deadline     time.Time
	// TimeAfterStages is the time that the request takes after its stages.
	TimeAfterStages time.Duration
	// DataCentre is where the results will be fetched to. Empty means anywhere.
	DataCentre string
	Stages     []Stage
	// Results are results that another owner has had made for this job.
	Results []PieceResult
}

// PieceResult is the result of one piece.
type PieceResult struct {
	Stage       int
	Piece       int
	Handle      string
	Incarnation string
	Addr        string
}

// OwnerChangedError reports a job that is to be given to another owner with the results that
// it has.
type OwnerChangedError struct{}

// Error implements error.
func (*OwnerChangedError) Error() string { return "another daemon owns the stage upstreams" }

// RefusedError reports a job that was not taken or was given up, because it can't be
// done in time.
type RefusedError struct {
	Message string
	// RetryAfter is when a like request can be expected to be done in time.
	RetryAfter time.Duration
}

// Error returns the message.
func (e *RefusedError) Error() string { return e.Message }

// FailedError reports a job whose stages failed on every try.
type FailedError struct {
	Service string
	Message string
}

// Error says which service failed and how.
func (e *FailedError) Error() string {
	return fmt.Sprintf("stage service %s: %s", e.Service, e.Message)
}

// Config configures a Scheduler. Invoker is required.
type Config struct {
	Invoker Invoker
	// Logger may be nil.
	Logger *zap.Logger
}

func newService(s routing.Service) *service {
	return &service{
		name: s.Name,
		spec: *s.Batch,
	}
}
