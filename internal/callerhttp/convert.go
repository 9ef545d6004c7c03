package callerhttp

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/jx"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/wire/callerapi"
)

// statusByCode maps codes to HTTP statuses. The status of any other code depends on the
// type of the outcome.
var statusByCode = map[outcome.Code]int{
	outcome.CodeBadRequest:       http.StatusBadRequest,
	outcome.CodeDeadlinePast:     http.StatusBadRequest,
	outcome.CodeRouteUnknown:     http.StatusNotFound,
	outcome.CodeKeyBodyMismatch:  http.StatusConflict,
	outcome.CodeOverloaded:       http.StatusTooManyRequests,
	outcome.CodeDeadlineExceeded: http.StatusGatewayTimeout,
	outcome.CodeKeyExpired:       http.StatusGone,
	outcome.CodeResultExpired:    http.StatusGone,
	outcome.CodeOwnerGone:        http.StatusGone,
}

// httpStatus returns the HTTP status for o.
func httpStatus(o outcome.Outcome) int {
	if s, ok := statusByCode[outcome.CodeOf(o)]; ok {
		return s
	}
	switch o.(type) {
	case outcome.Answered:
		return http.StatusOK
	case outcome.NotRun:
		return http.StatusServiceUnavailable
	case outcome.Failed:
		return http.StatusBadGateway
	case outcome.Unknown:
	}
	return http.StatusGatewayTimeout
}

// EncodeOutcome returns the HTTP status and JSON body for o.
func EncodeOutcome(o outcome.Outcome) (code int, body []byte) {
	var e jx.Encoder
	if a, ok := o.(outcome.Answered); ok {
		wireAnswer(a).Encode(&e)
	} else {
		wireOutcome(o).Encode(&e)
	}
	return httpStatus(o), e.Bytes()
}

// DecodeOutcome is the inverse of EncodeOutcome.
func DecodeOutcome(code int, body []byte) (outcome.Outcome, error) {
	if code == http.StatusOK {
		var a callerapi.Answer
		if err := a.Decode(jx.DecodeBytes(body)); err != nil {
			return nil, fmt.Errorf("decoding an answer: %w", err)
		}
		return fromAnswer(a), nil
	}
	var o callerapi.Outcome
	if err := o.Decode(jx.DecodeBytes(body)); err != nil {
		return nil, fmt.Errorf("decoding an outcome: %w", err)
	}
	return fromOutcome(o), nil
}

func wireAnswer(a outcome.Answered) *callerapi.Answer {
	stages := make([]callerapi.StageReport, len(a.Stages))
	for i, s := range a.Stages {
		stages[i] = callerapi.StageReport{
			Stage:    s.Stage,
			Upstream: s.Upstream,
			Attempts: s.Attempts,
			Millis:   float64(s.Duration.Microseconds()) / 1000,
			Reused:   s.Reused,
		}
	}
	return &callerapi.Answer{
		RequestID: a.RequestID,
		Outcome:   callerapi.AnswerOutcomeAnswered,
		Output:    a.Output,
		Stages:    stages,
	}
}

func fromAnswer(a callerapi.Answer) outcome.Answered {
	stages := make([]outcome.StageReport, len(a.Stages))
	for i, s := range a.Stages {
		stages[i] = outcome.StageReport{
			Stage:    s.Stage,
			Upstream: s.Upstream,
			Attempts: s.Attempts,
			Duration: time.Duration(s.Millis * float64(time.Millisecond)),
			Reused:   s.Reused,
		}
	}
	return outcome.Answered{
		RequestID: a.RequestID,
		Output:    a.Output,
		Stages:    stages,
	}
}

func wireOutcome(o outcome.Outcome) *callerapi.Outcome {
	switch o := o.(type) {
	case outcome.NotRun:
		return newOutcome(callerapi.OutcomeOutcomeNotRun, o.RequestID, o.Code, o.Message, o.Field, "", o.RetryAfter)
	case outcome.Failed:
		return newOutcome(callerapi.OutcomeOutcomeFailed, o.RequestID, o.Code, o.Message, "", o.Stage, o.RetryAfter)
	case outcome.Unknown:
		return newOutcome(callerapi.OutcomeOutcomeUnknown, o.RequestID, o.Code, o.Message, "", o.Stage, o.RetryAfter)
	}
	return &callerapi.Outcome{
		Outcome: callerapi.OutcomeOutcomeUnknown,
	}
}

func newOutcome(kind callerapi.OutcomeOutcome, id string, code outcome.Code, message, field, stage string, retryAfter time.Duration) *callerapi.Outcome {
	return &callerapi.Outcome{
		RequestID:    optString(id),
		Outcome:      kind,
		Code:         string(code),
		Message:      message,
		Field:        optString(field),
		Stage:        optString(stage),
		RetryAfterMs: optMillis(retryAfter),
	}
}

func fromOutcome(o callerapi.Outcome) outcome.Outcome {
	id := o.RequestID.Or("")
	code := outcome.Code(o.Code)
	retryAfter := time.Duration(o.RetryAfterMs.Or(0)) * time.Millisecond
	switch o.Outcome {
	case callerapi.OutcomeOutcomeNotRun:
		return outcome.NotRun{
			RequestID:  id,
			Code:       code,
			Message:    o.Message,
			Field:      o.Field.Or(""),
			RetryAfter: retryAfter,
		}
	case callerapi.OutcomeOutcomeFailed:
		return outcome.Failed{
			RequestID:  id,
			Code:       code,
			Message:    o.Message,
			Stage:      o.Stage.Or(""),
			RetryAfter: retryAfter,
		}
	case callerapi.OutcomeOutcomeUnknown:
	}
	return outcome.Unknown{
		RequestID:  id,
		Code:       code,
		Message:    o.Message,
		Stage:      o.Stage.Or(""),
		RetryAfter: retryAfter,
	}
}

func optString(s string) callerapi.OptString {
	if s == "" {
		return callerapi.OptString{}
	}
	return callerapi.NewOptString(s)
}

func optMillis(d time.Duration) callerapi.OptInt64 {
	if d == 0 {
		return callerapi.OptInt64{}
	}
	return callerapi.NewOptInt64(d.Milliseconds())
}
