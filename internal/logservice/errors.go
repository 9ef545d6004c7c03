package logservice

import (
	"fmt"
	"time"
)

// Codes of a RejectedError that the client itself returns. All others come from the
// service.
const (
	CodeOverBudget  = "over_budget"
	CodeUnreachable = "unreachable"
	CodeCancelled   = "cancelled"
)

// RejectedError means that a record was certainly not appended.
type RejectedError struct {
	Code    string
	Message string
	// RetryAfter is how long to wait before the next attempt.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("append to log: %s: %s", e.Code, e.Message)
}

// UnknownOutcomeError means that a record may have been appended.
type UnknownOutcomeError struct {
	Err error
}

// Error returns the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("append to log: outcome unknown, the record may have been appended: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// OffsetExpiredError means that the log no longer retains the requested records.
type OffsetExpiredError struct {
	// FirstOffset is the oldest offset that the log retains.
	FirstOffset uint64
}

// Error returns the first offset.
func (e *OffsetExpiredError) Error() string {
	return fmt.Sprintf("read log: the records have expired, the oldest retained offset is %d", e.FirstOffset)
}
