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

// Reply is the whole and checked result of an attempt.
type Reply struct {
	Output string
	Load   *upstream.Load
}

// Invoker calls upstreams. Errors are *CallError.
type Invoker interface {
	Invoke(ctx context.Context, c Call) (Reply, error)
}

// ExecutionStatus says how far an attempt that failed may have come.
type ExecutionStatus int

// Reaches, from the least to the most.
const (
	// NotSent means that no byte of the call left for the upstream.
	NotSent ExecutionStatus = iota
	// RefusedLeaving means that the upstream answered that it did not run the
	// call because it is leaving.
	RefusedLeaving
	// Refused means that the upstream answered that it did not run the call.
	Refused
	// MayHaveRun means that nothing is known of the call once it was sent.
	MayHaveRun
	// RanAndFailed means that the upstream answered that the call ran and failed.
	RanAndFailed
)

// CallError is an attempt that gave no result.
type CallError struct {
	Addr      string
	Execution ExecutionStatus
	// TimedOut tells an attempt that ran out of time from one that broke.
	TimedOut bool
	Err      error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("calling upstream %s: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

// executed reports whether the call may have been acted on.
func (e *CallError) executed() bool {
	return e.Execution >= MayHaveRun
}
