// Package callerhttp implements the HTTP API for callers, which api/caller.yaml defines.
package callerhttp

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/request"
	"sequoiafork/internal/wire/callerapi"
)

// notReadyRetryAfter is the Retry-After delay of a daemon that has no tables yet.
const notReadyRetryAfter = time.Second

// Resolver returns the addresses that a caller should use, best first, and how long the
// caller may cache them.
type Resolver interface {
	Resolve(caller, dataCentre string) (addrs []string, ttl time.Duration)
}

// Handler implements the server interfaces that are generated from api/caller.yaml.
type Handler struct {
	service  *request.Service
	resolver Resolver
}

// New returns the HTTP handler for callers.
func New(service *request.Service, resolver Resolver) (http.Handler, error) {
	h := &Handler{
		service:  service,
		resolver: resolver,
	}
	return callerapi.NewServer(h, h, callerapi.WithErrorHandler(writeError))
}

// outcomeError wraps an outcome as an error, so that the generated server can return it.
type outcomeError struct {
	outcome outcome.Outcome
}

// Error implements error.
func (e *outcomeError) Error() string {
	return outcome.Name(e.outcome) + ": " + string(outcome.CodeOf(e.outcome))
}

// CallRoute runs a request and returns its complete answer.
func (h *Handler) CallRoute(ctx context.Context, req *callerapi.Call, params callerapi.CallRouteParams) (*callerapi.Answer, error) {
	r, rejection := newRequest(req, params.Route, params.IdempotencyKey)
	if rejection != nil {
		return nil, &outcomeError{
			outcome: *rejection,
		}
	}
	o := h.service.Serve(ctx, r)
	if a, ok := o.(outcome.Answered); ok {
		return wireAnswer(a), nil
	}
	return nil, &outcomeError{
		outcome: o,
	}
}

func newRequest(req *callerapi.Call, route string, key callerapi.OptString) (request.Request, *outcome.NotRun) {
	r := request.Request{
		Route:     route,
		Workspace: req.Workspace,
		Input:     req.Input,
		Key:       key.Or(""),
	}
	deadlineAt, hasDeadlineAt := req.DeadlineAt.Get()
	deadlineMs, hasDeadlineMs := req.DeadlineMs.Get()
	switch {
	case hasDeadlineAt && hasDeadlineMs:
		return r, badRequest("deadline_ms", "send deadline_ms or deadline_at, not both")
	case hasDeadlineMs && deadlineMs <= 0:
		return r, badRequest("deadline_ms", "must be a positive number of milliseconds")
	case hasDeadlineMs:
		r.Deadline = time.Now().Add(time.Duration(deadlineMs) * time.Millisecond)
	case hasDeadlineAt && !deadlineAt.After(time.Now()):
		rejection := badRequest("deadline_at", "the deadline has passed: send a later one")
		rejection.Code = outcome.CodeDeadlinePast
		return r, rejection
	case hasDeadlineAt:
		r.Deadline = deadlineAt
	}
	return r, nil
}

func badRequest(field, message string) *outcome.NotRun {
	return &outcome.NotRun{
		Code:    outcome.CodeBadRequest,
		Field:   field,
		Message: field + ": " + message,
	}
}

// IssueKey issues an idempotency key that belongs to this process.
func (h *Handler) IssueKey(context.Context) (*callerapi.IssuedKey, error) {
	key, valid, rejection := h.service.IssueKey()
	if rejection != nil {
		return nil, &outcomeError{
			outcome: *rejection,
		}
	}
	return &callerapi.IssuedKey{
		Key:     key,
		ValidMs: valid.Milliseconds(),
	}, nil
}

// Resolve returns the addresses that the caller should use. A daemon without tables
// rejects the call: it has just started, may not have discovered any other daemon yet
// and would return only its own address.
func (h *Handler) Resolve(_ context.Context, params callerapi.ResolveParams) (*callerapi.Resolution, error) {
	if !h.service.Ready() {
		return nil, &outcomeError{
			outcome: outcome.NotRun{
				Code:       outcome.CodeNotReady,
				Message:    "this daemon has no tables yet: ask another address",
				RetryAfter: notReadyRetryAfter,
			},
		}
	}
	addrs, ttl := h.resolver.Resolve(params.Caller, params.DataCentre.Or(""))
	return &callerapi.Resolution{
		Addresses: addrs,
		KeepMs:    ttl.Milliseconds(),
	}, nil
}

// ShowKey returns the state of a key's request.
func (h *Handler) ShowKey(ctx context.Context, params callerapi.ShowKeyParams) (*callerapi.KeyState, error) {
	st := h.service.KeyStatus(ctx, params.Workspace, params.Key)
	switch o := st.Outcome.(type) {
	case outcome.Answered:
		return &callerapi.KeyState{
			State:  callerapi.KeyStateStateAnswered,
			Answer: callerapi.NewOptAnswer(*wireAnswer(o)),
			LastEvent: callerapi.NewOptStreamEvent(callerapi.StreamEvent{
				RequestID: o.RequestID,
				Done:      callerapi.NewOptAnswer(*wireAnswer(o)),
			}),
		}, nil
	case nil:
	default:
		return &callerapi.KeyState{
			State:   callerapi.KeyStateState(outcome.Name(o)),
			Outcome: callerapi.NewOptOutcome(*wireOutcome(o)),
		}, nil
	}
	switch {
	case st.Running:
		return &callerapi.KeyState{
			State: callerapi.KeyStateStateRunning,
		}, nil
	case st.Expired, st.Owner != "":
		// Another process may have run the request, or this process ran it and no longer
		// stores the outcome.
		return &callerapi.KeyState{
			State: callerapi.KeyStateStateUnknown,
		}, nil
	}
	return &callerapi.KeyState{
		State: callerapi.KeyStateStateUnused,
	}, nil
}

// NewError implements callerapi.Handler.
func (h *Handler) NewError(_ context.Context, err error) *callerapi.OutcomeStatusCodeWithHeaders {
	return wireError(err)
}

func wireError(err error) *callerapi.OutcomeStatusCodeWithHeaders {
	var outcomeErr *outcomeError
	if !errors.As(err, &outcomeErr) {
		outcomeErr = &outcomeError{
			outcome: *requestError(err),
		}
	}
	body := wireOutcome(outcomeErr.outcome)
	res := &callerapi.OutcomeStatusCodeWithHeaders{
		StatusCode: httpStatus(outcomeErr.outcome),
		Response:   *body,
	}
	if ms, ok := body.RetryAfterMs.Get(); ok {
		const millisPerSecond = 1000
		res.RetryAfter = callerapi.NewOptInt(int((ms + millisPerSecond - 1) / millisPerSecond))
	}
	return res
}

// requestError converts an error of the generated server, which could not decode or
// validate a request, to a rejection.
func requestError(err error) *outcome.NotRun {
	// The text up to this prefix describes the generated code, not the caller's mistake.
	_, cause, found := strings.Cut(err.Error(), "decode application/json: ")
	if !found {
		cause = err.Error()
	}
	rejection := badRequest("body", cause)
	var tooLarge *http.MaxBytesError
	var params *ogenerrors.DecodeParamsError
	var fields *validate.Error
	switch {
	case errors.As(err, &fields) && len(fields.Fields) > 0:
		rejection = badRequest(fields.Fields[0].Name, fields.Fields[0].Error.Error())
	case errors.As(err, &tooLarge):
		rejection.Message = "body: larger than this daemon takes: send a shorter input"
	case errors.As(err, &params):
		rejection.Field = "parameters"
	}
	return rejection
}

// writeError responds to a request that did not reach a method of Handler.
func writeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	res := wireError(err)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		res.StatusCode = http.StatusRequestEntityTooLarge
	}
	var e jx.Encoder
	res.Response.Encode(&e)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(res.StatusCode)
	_, _ = w.Write(e.Bytes())
}
