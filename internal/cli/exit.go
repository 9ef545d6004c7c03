package cli

import (
	"errors"
	"fmt"
	"net/http"

	"sequoiafork/internal/callerclient"
	"sequoiafork/internal/operatorclient"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/rowtext"
	"sequoiafork/internal/wire/callerapi"
	"sequoiafork/internal/wire/operatorapi"
)

// ExitCode is the exit code of the command line.
type ExitCode int

// The exit codes.
const (
	// ExitOK: the command succeeded.
	ExitOK ExitCode = 0
	// ExitOther: another error, for instance that no daemon responds. No edit was made.
	ExitOther ExitCode = 1
	// ExitBadInput: the command line, a file, a name or a request is invalid. Nothing
	// was changed or run.
	ExitBadInput ExitCode = 2
	// ExitRefused: an edit was rejected or a checked file is invalid. Nothing was changed.
	ExitRefused ExitCode = 3
	// ExitConflict: the row was changed by another edit. Nothing was changed.
	ExitConflict ExitCode = 4
	// ExitUnknown: an edit may have been applied, or a request may have run.
	ExitUnknown ExitCode = 5
	// ExitNotRun: a request certainly did not run.
	ExitNotRun ExitCode = 6
	// ExitFailed: a request ran and failed.
	ExitFailed ExitCode = 7
)

// ExitError is an error with the exit code of the command.
type ExitError struct {
	Code ExitCode
	// Err is nil if the command has printed the failure itself.
	Err error
}

// Error returns the message of Err, or the exit code if Err is nil.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error {
	return e.Err
}

func badInput(format string, args ...any) error {
	return &ExitError{
		Code: ExitBadInput,
		Err:  fmt.Errorf(format, args...),
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) ExitCode {
	var exit *ExitError
	var syntax *rowtext.SyntaxError
	var status *operatorapi.ErrorStatusCode
	var lostResponse *operatorclient.LostResponseError
	var outcomeErr *callerclient.OutcomeError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &syntax):
		return ExitBadInput
	case errors.As(err, &lostResponse):
		return ExitUnknown
	case errors.As(err, &outcomeErr):
		return outcomeExitCode(outcomeErr.Outcome)
	case errors.As(err, &status) && status.StatusCode < http.StatusInternalServerError:
		return ExitBadInput
	default:
		return ExitOther
	}
}

var outcomeExitCodes = map[callerapi.OutcomeOutcome]ExitCode{
	callerapi.OutcomeOutcomeNotRun:  ExitNotRun,
	callerapi.OutcomeOutcomeFailed:  ExitFailed,
	callerapi.OutcomeOutcomeUnknown: ExitUnknown,
}

// badInputCauses are the causes of "not run" that lie in the request, so that a retry
// doesn't help.
var badInputCauses = map[outcome.Code]bool{
	outcome.CodeBadRequest:      true,
	outcome.CodeRouteUnknown:    true,
	outcome.CodeKeyBodyMismatch: true,
}

func outcomeExitCode(o callerapi.Outcome) ExitCode {
	if o.Outcome == callerapi.OutcomeOutcomeNotRun && badInputCauses[outcome.Code(o.Code)] {
		return ExitBadInput
	}
	if code, ok := outcomeExitCodes[o.Outcome]; ok {
		return code
	}
	return ExitOther
}

var editExitCodes = map[operatorapi.EditResultState]ExitCode{
	operatorapi.EditResultStateDryRun:   ExitOK,
	operatorapi.EditResultStateAccepted: ExitOK,
	operatorapi.EditResultStateConflict: ExitConflict,
	operatorapi.EditResultStateRefused:  ExitRefused,
	operatorapi.EditResultStateUnknown:  ExitUnknown,
	operatorapi.EditResultStateNotFound: ExitUnknown,
}
