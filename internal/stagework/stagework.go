// Package stagework schedules the stages that requests need before they go to their
// upstream. A stage consists of pieces: units of work that run on their own and are
// batched with pieces of other requests.
//
// One Scheduler, that of the owner of the stage work, uses the upstreams of all stage
// services. It fills batches across all requests in order of urgency, accounts for the
// result memory of each upstream, frees results as soon as nothing needs them, and
// rejects a request at once if its stages cannot finish in time. It is designed for
// stage upstreams that run close to their capacity, and for calls whose fixed overhead
// is much larger than the time that a single piece adds.
//
//	s := stagework.New(stagework.Config{Invoker: invoker})
//	s.SetServices(services)
//	s.SetUpstreams(upstreams)
//	submitted, err := s.Submit(job)
//	handles, err := submitted.Wait(ctx)
//	submitted.Release()
package stagework

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/routing"
)

// Upstream is one process that runs stages.
type Upstream struct {
	// Incarnation identifies one run of the process.
	Incarnation string
	Addr        string
	DataCentre  string
	Service     string
	// Cold is what is known of the upstream being cold. Without a limit it never is.
	Cold coldstart.Mark
}

// Item is one piece of a stage in a call.
type Item struct {
	RequestID string
	Stage     int
	Piece     int
	// TimeLeft is the time until the stages of the request must end.
	TimeLeft time.Duration
	// InputKey names the input of a stage that depends on no other.
	InputKey string
	// Inputs are the handles of the results that the piece takes as input.
	Inputs []string
	// JobInput is the InputKey of the job, also for a stage that depends on others.
	JobInput string
}

// ItemStatus is the outcome of an item: Done, or the reason why it has no result.
type ItemStatus int

// The statuses of an item. Done means that there is a result.
const (
	Done ItemStatus = iota
	// DeadlineExceeded means that the item's TimeLeft had run out before the upstream
	// started it.
	DeadlineExceeded
	// InputGone means that a result that the piece takes as input no longer exists.
	InputGone
	// InsufficientMemory means that the upstream has no memory for the result.
	InsufficientMemory
	// ItemFailed means that the piece was run and failed.
	ItemFailed
)

// ItemResult is the outcome of an item. Handle is empty unless Status is Done.
type ItemResult struct {
	Handle string
	Status ItemStatus
}

// BusyError reports that an upstream rejected a call without working on it.
type BusyError struct {
	Addr string
}

// Error returns a message with the address of the upstream.
func (e *BusyError) Error() string { return "stage upstream " + e.Addr + " is busy" }

// Invoker calls the upstreams of stages.
type Invoker interface {
	// Run returns a result for each item, in order.
	Run(ctx context.Context, u Upstream, items []Item) ([]ItemResult, error)
	// Free frees results.
	Free(ctx context.Context, u Upstream, handles []string) error
	// FreeMemory returns an upper bound of the free memory for results, in bytes.
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
	// Workspace is the workspace of the request. Jobs without one count as those of one workspace.
	Workspace string
	// Priority orders jobs; zero is the most urgent.
	Priority int
	// SoftDeadline is when the response should start, Deadline when the caller
	// stops waiting for it.
	SoftDeadline time.Time
	Deadline     time.Time
	// Patience is when the caller is expected to stop waiting for the start of the response.
	// It is at most Deadline; zero means Deadline.
	Patience time.Time
	// TimeAfterStages is the time that the request takes after its stages.
	TimeAfterStages time.Duration
	// DataCentre is where the results will be fetched to. Empty means anywhere.
	DataCentre string
	Stages     []Stage
	// Results are the results that already exist for this job from a previous owner.
	Results []PieceResult
	// Resubmitted reports that the job was submitted before by a submitter that lost its
	// connection. If the scheduler still has the job, Submit returns it.
	Resubmitted bool
	// share is set by the scheduler if workspaces have shares.
	share jobShare
}

// PieceResult is the result of one piece.
type PieceResult struct {
	Stage       int
	Piece       int
	Handle      string
	Incarnation string
	Addr        string
}

// OwnerChangedError reports that a job must be submitted to another owner, along with the
// results that it has.
type OwnerChangedError struct{}

// Error implements error.
func (*OwnerChangedError) Error() string { return "another daemon owns the stage upstreams" }

// RejectedError reports a job that was rejected, at admission or later, because it cannot
// finish in time.
type RejectedError struct {
	Message string
	// RetryAfter is the time after which a similar request is expected to be accepted.
	RetryAfter time.Duration
}

// Error returns the message.
func (e *RejectedError) Error() string { return e.Message }

// FailedError reports a job whose stages failed at every attempt.
type FailedError struct {
	Service string
	Message string
}

// Error returns a message with the service and the cause.
func (e *FailedError) Error() string {
	return fmt.Sprintf("stage service %s: %s", e.Service, e.Message)
}

// Config configures a Scheduler. Invoker is required.
type Config struct {
	Invoker Invoker
	// Self is the incarnation of the daemon of the scheduler. It may be empty if there is only one.
	Self string
	// Cold are the rights of this daemon at cold upstreams. Nil means that no upstream is cold.
	Cold *coldstart.Rights
	// FairShares shares the upstreams between workspaces when there is more work than they can do: among jobs of the
	// same lateness and priority, those of workspaces over their share go last.
	FairShares bool
	// Logger may be nil.
	Logger *zap.Logger
}

func newService(s routing.Service) *service {
	return &service{
		name: s.Name,
		spec: *s.Batch,
	}
}
