package logservice

import (
	"fmt"
	"time"
)

// Codes of RefusedError that the client itself gives. Others are the service's.
const (
	CodeOverBudget  = "over_budget"
	CodeUnreachable = "unreachable"
	CodeCancelled   = "cancelled"
)

// RefusedError says that a record was certainly not appended.
type RefusedError struct {
	Code    string
	Message string
	// RetryAfter is how long to wait before the next try.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("append to log: %s: %s", e.Code, e.Message)
}

// UnknownOutcomeError says that a record may have been appended.
type UnknownOutcomeError struct {
	Err error
}

// Error returns the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("append to log: no answer, the record may have been appended: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// OffsetExpiredError says that records that were asked for are no longer kept.
type OffsetExpiredError struct {
	// FirstOffset is the oldest offset that is kept.
	FirstOffset uint64
}

// Error returns the first offset.
func (e *OffsetExpiredError) Error() string {
	return fmt.Sprintf("read log: the records have expired, the first that is kept is %d", e.FirstOffset)
}
