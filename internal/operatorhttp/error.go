package operatorhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/ogen-go/ogen/ogenerrors"

	"sequoiafork/internal/wire/operatorapi"
)

// Error codes of the operator API.
const (
	codeBadRequest = "bad_request"
	codeNotFound   = "not_found"
	codeNotReady   = "not_ready"
	codeRefused    = "refused"
	codeTooLarge   = "too_large"
)

// NotFoundError reports that a table has no row with the name.
type NotFoundError struct {
	// RowType is the row type, "route" or "pool".
	RowType string
	Name    string
}

// Error names the missing row and the command that lists the existing ones.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("there is no %s %q: see %s list", e.RowType, e.Name, e.RowType)
}

// NotReadyError reports that the daemon has not read any revision of the tables yet.
type NotReadyError struct{}

// Error describes the state and what the operator can do.
func (e *NotReadyError) Error() string {
	return "this daemon has no tables yet: ask another, or wait for /readyz"
}

// NewError converts an error of the handler to a response. An error of a
// command means that nothing was changed.
func (h *Handler) NewError(_ context.Context, err error) *operatorapi.ErrorStatusCode {
	var notFound *NotFoundError
	var notReady *NotReadyError
	switch {
	case errors.As(err, &notFound):
		return wireError(http.StatusNotFound, codeNotFound, err.Error())
	case errors.As(err, &notReady):
		return wireError(http.StatusServiceUnavailable, codeNotReady, err.Error())
	default:
		return wireError(http.StatusServiceUnavailable, codeRefused, "nothing was changed: "+err.Error())
	}
}

func wireError(status int, code, message string) *operatorapi.ErrorStatusCode {
	return &operatorapi.ErrorStatusCode{
		StatusCode: status,
		Response: operatorapi.Error{
			Code:    code,
			Message: message,
		},
	}
}

// writeError responds to a request that could not be decoded.
func writeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status := ogenerrors.ErrorCode(err)
	wire := wireError(status, codeBadRequest, "the request can't be read: correct the field that is named")
	var tooLarge *http.MaxBytesError
	var param *ogenerrors.DecodeParamError
	switch {
	case errors.As(err, &tooLarge):
		wire = wireError(http.StatusRequestEntityTooLarge, codeTooLarge, fmt.Sprintf("the body is longer than %d bytes", tooLarge.Limit))
	case errors.As(err, &param):
		wire.Response.Problems = []operatorapi.Problem{
			{
				Field:   param.Name,
				Message: param.Err.Error(),
			},
		}
	default:
		wire.Response.Problems = []operatorapi.Problem{
			{
				Field:   "body",
				Message: strings.TrimPrefix(decodeCause(err), "decode: "),
			},
		}
	}
	writeResponse(w, wire)
}

// decodeCause returns the text of a decoding error without the operation's name.
func decodeCause(err error) string {
	var request *ogenerrors.DecodeRequestError
	if errors.As(err, &request) {
		return request.Err.Error()
	}
	return err.Error()
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, wireError(http.StatusNotFound, codeNotFound, fmt.Sprintf("there is no path %q here", r.URL.Path)))
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	writeResponse(w, wireError(http.StatusMethodNotAllowed, codeBadRequest, fmt.Sprintf("%s is not allowed here: use %s", r.Method, allowed)))
}

func writeResponse(w http.ResponseWriter, wire *operatorapi.ErrorStatusCode) {
	data, err := json.Marshal(&wire.Response)
	if err != nil {
		http.Error(w, "error can't be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(wire.StatusCode)
	_, _ = w.Write(append(data, '\n'))
}
