// Package outcome defines the possible outcomes of a request: answered, not run,
// failed or unknown.
package outcome

import "time"

// Outcome is one of Answered, NotRun, Failed and Unknown.
type Outcome interface {
	outcome()
}

// Answered is the complete response to a request.
type Answered struct {
	RequestID string
	Output    string
	Stages    []StageReport
}

// StageReport describes how one stage was run.
type StageReport struct {
	Stage    string
	Upstream string
	Attempts int
	Duration time.Duration
	Reused   bool
}

// NotRun guarantees that no upstream acted on the request.
type NotRun struct {
	RequestID  string
	Code       Code
	Message    string
	Field      string
	RetryAfter time.Duration
}

// Failed means that the request ran and failed and that it is safe to send it again:
// it had no non-idempotent effect.
type Failed struct {
	RequestID  string
	Code       Code
	Message    string
	Stage      string
	RetryAfter time.Duration
}

// Unknown means that the request may have run.
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
	// CodeQuarantined means that requests like this one have ended upstreams.
	CodeQuarantined Code = "quarantined"
)

// Name returns the name of o in the interfaces, logs and metrics.
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
