package pipeline

import (
	"context"
	"fmt"
	"time"

	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// Call is one attempt at one stage on one upstream.
type Call struct {
	Addr      string
	AttemptID string
	RequestID string
	Workspace string
	Stage     table.Stage
	Kind      table.PoolKind
	Input     string
	Remaining time.Duration
	// Priority orders the work of an engine; a lower value runs first.
	Priority int
	// OnToken receives the tokens of an engine in order. It may be nil.
	OnToken func(index int, text string)
}

// Reply is the complete and validated result of an attempt.
type Reply struct {
	Output string
	Load   *upstream.Load
}

// Invoker calls upstreams. Errors are *CallError.
type Invoker interface {
	Invoke(ctx context.Context, c Call) (Reply, error)
}

// ExecutionStatus is how far the execution of a failed attempt may have got.
type ExecutionStatus int

// Execution statuses, from the earliest point of failure to the latest.
const (
	// NotSent means that no byte of the call was sent to the upstream.
	NotSent ExecutionStatus = iota
	// RefusedLeaving means that the upstream reported that it did not run the
	// call because it is leaving.
	RefusedLeaving
	// Refused means that the upstream reported that it did not run the call.
	Refused
	// MayHaveRun means that the call was sent and nothing more is known of it.
	MayHaveRun
	// RanAndFailed means that the upstream reported that the call ran and failed.
	RanAndFailed
)

// CallError reports an attempt that returned no result.
type CallError struct {
	Addr      string
	Execution ExecutionStatus
	// TimedOut reports that the attempt timed out, as opposed to a lost connection
	// or an error.
	TimedOut bool
	// Overloaded reports that the upstream asked for a pause, so that the call says nothing of its
	// health.
	Overloaded bool
	Err        error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("calling upstream %s: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

// executed reports whether the upstream may have executed the call.
func (e *CallError) executed() bool {
	return e.Execution >= MayHaveRun
}
