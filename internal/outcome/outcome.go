// Package outcome holds what a caller can learn of its request: answered, not
// run, failed or unknown.
package outcome

import "time"

// Outcome is one of Answered, NotRun, Failed and Unknown.
type Outcome interface {
	outcome()
}

// Answered is the whole answer of a request.
type Answered struct {
	RequestID string
	Output    string
	Stages    []StageReport
}

// StageReport says how one stage was done.
type StageReport struct {
	Stage    string
	Upstream string
	Attempts int
	Duration time.Duration
	Reused   bool
}

// NotRun promises that no upstream acted on the request.
type NotRun struct {
	RequestID  string
	Code       Code
	Message    string
	Field      string
	RetryAfter time.Duration
}

// Failed says that the request ran and failed, and has no effect that may not be
// repeated.
type Failed struct {
	RequestID  string
	Code       Code
	Message    string
	Stage      string
	RetryAfter time.Duration
}

// Unknown says that the request may have run.
type Unknown struct {
	RequestID  string
	Code       Code
	Message    string
	Stage      string
	RetryAfter time.Duration
}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Failed) outcome()   {}
func (Unknown) outcome()  {}

// Code is the machine-readable cause of an outcome other than Answered.
type Code string

// Causes of outcomes.
const (
	CodeBadRequest       Code = "bad_request"
	CodeRouteUnknown     Code = "route_unknown"
	CodeDeadlinePast     Code = "deadline_past"
	CodeDeadlineTooShort Code = "deadline_too_short"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeOverloaded       Code = "overloaded"
	CodeNoUpstream       Code = "no_upstream"
	CodeUpstreamFailed   Code = "upstream_failed"
	CodeUpstreamBroken   Code = "upstream_broken"
	CodePartlyRun        Code = "partly_run"
	CodeStreamDiverged   Code = "stream_diverged"
	CodeCallerGone       Code = "caller_gone"
	CodeNotReady         Code = "not_ready"
	CodeDraining         Code = "draining"
	CodeKeyBodyMismatch  Code = "key_body_mismatch"
	CodeKeyExpired       Code = "key_expired"
	CodeKeyRunning       Code = "key_running"
	CodeOwnerGone        Code = "owner_gone"
	CodeOwnerUnreachable Code = "owner_unreachable"
	CodeLogUnavailable   Code = "log_unavailable"
	CodeClaimUnsettled   Code = "claim_unsettled"
	CodeResultExpired    Code = "result_expired"
	CodeAPIKeyUnknown    Code = "api_key_unknown"
)

// Name returns the word for o that the interfaces, logs and metrics use.
func Name(o Outcome) string {
	switch o.(type) {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	case Failed:
		return "failed"
	case Unknown:
		return "unknown"
	}
	return "unknown"
}

// CodeOf returns the cause of o, or "" for an answer.
func CodeOf(o Outcome) Code {
	switch o := o.(type) {
	case NotRun:
		return o.Code
	case Failed:
		return o.Code
	case Unknown:
		return o.Code
	}
	return ""
}
