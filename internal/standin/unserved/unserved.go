// Package unserved provides handlers that reject every operation with 404. A
// stand-in embeds one of them and overrides the operations that it serves.
package unserved

import (
	"context"
	"errors"
	"net/http"

	"sequoiafork/internal/wire/platformapi"
	"sequoiafork/internal/wire/upstreamapi"
)

const notServed = "this stand-in does not serve the operation"

// Platform rejects every operation of the platform services.
type Platform struct{}

var _ platformapi.Handler = Platform{}

// AppendRecord rejects the call.
func (Platform) AppendRecord(context.Context, *platformapi.AppendRequest, platformapi.AppendRecordParams) (*platformapi.AppendResult, error) {
	return nil, PlatformError(http.StatusNotFound, "not_found", notServed)
}

// FetchWeights rejects the call.
func (Platform) FetchWeights(context.Context, platformapi.FetchWeightsParams) (*platformapi.Weights, error) {
	return nil, PlatformError(http.StatusNotFound, "not_found", notServed)
}

// ReadHosts rejects the call.
func (Platform) ReadHosts(context.Context) (*platformapi.HostList, error) {
	return nil, PlatformError(http.StatusNotFound, "not_found", notServed)
}

// HostEntry rejects the call.
func (Platform) HostEntry(context.Context) (*platformapi.Host, error) {
	return nil, PlatformError(http.StatusNotFound, "not_found", notServed)
}

// ReadRecords rejects the call.
func (Platform) ReadRecords(context.Context, platformapi.ReadRecordsParams) (*platformapi.ReadResult, error) {
	return nil, PlatformError(http.StatusNotFound, "not_found", notServed)
}

// NewError converts an error returned by a handler into an error response.
func (Platform) NewError(_ context.Context, err error) *platformapi.ErrorStatusCode {
	var status *platformapi.ErrorStatusCode
	if errors.As(err, &status) {
		return status
	}
	return PlatformError(http.StatusServiceUnavailable, "unavailable", err.Error())
}

// PlatformError returns an error response of a platform service.
func PlatformError(status int, code, message string) *platformapi.ErrorStatusCode {
	return &platformapi.ErrorStatusCode{
		StatusCode: status,
		Response: platformapi.Error{
			Code:    code,
			Message: message,
		},
	}
}

// Upstream rejects every operation of the upstream API.
type Upstream struct{}

var (
	_ upstreamapi.Handler    = Upstream{}
	_ upstreamapi.RawHandler = Upstream{}
)

// CancelCompletion rejects the call.
func (Upstream) CancelCompletion(context.Context, upstreamapi.CancelCompletionParams) error {
	return UpstreamError(http.StatusNotFound, "not_found", notServed)
}

// Complete rejects the call.
func (Upstream) Complete(context.Context, *upstreamapi.Completion, http.ResponseWriter) error {
	return UpstreamError(http.StatusNotFound, "not_found", notServed)
}

// Invoke rejects the call.
func (Upstream) Invoke(context.Context, *upstreamapi.Invocation) (*upstreamapi.InvocationResult, error) {
	return nil, UpstreamError(http.StatusNotFound, "not_found", notServed)
}

// ListCacheEvents rejects the call.
func (Upstream) ListCacheEvents(context.Context, upstreamapi.ListCacheEventsParams) (*upstreamapi.CacheEvents, error) {
	return nil, UpstreamError(http.StatusNotFound, "not_found", notServed)
}

// OrderState rejects the call.
func (Upstream) OrderState(context.Context, *upstreamapi.EngineOrder) (*upstreamapi.EngineState, error) {
	return nil, UpstreamError(http.StatusNotFound, "not_found", notServed)
}

// ShowCompletion rejects the call.
func (Upstream) ShowCompletion(context.Context, upstreamapi.ShowCompletionParams) (*upstreamapi.CompletionChunk, error) {
	return nil, UpstreamError(http.StatusNotFound, "not_found", notServed)
}

// ShowLoad rejects the call.
func (Upstream) ShowLoad(context.Context) (*upstreamapi.Load, error) {
	return nil, UpstreamError(http.StatusNotFound, "not_found", notServed)
}

// ShowState rejects the call.
func (Upstream) ShowState(context.Context) (*upstreamapi.EngineState, error) {
	return nil, UpstreamError(http.StatusNotFound, "not_found", notServed)
}

// NewError converts an error returned by a handler into an error response.
func (Upstream) NewError(_ context.Context, err error) *upstreamapi.ErrorStatusCode {
	var status *upstreamapi.ErrorStatusCode
	if errors.As(err, &status) {
		return status
	}
	return UpstreamError(http.StatusServiceUnavailable, "unavailable", err.Error())
}

// UpstreamError returns an error response of an upstream. It reports that the
// call was not run.
func UpstreamError(status int, code, message string) *upstreamapi.ErrorStatusCode {
	return &upstreamapi.ErrorStatusCode{
		StatusCode: status,
		Response: upstreamapi.Error{
			Code:    code,
			Message: message,
			Ran:     upstreamapi.NewOptBool(false),
		},
	}
}
