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
	// ExitOK: done, or shown.
	ExitOK ExitCode = 0
	// ExitOther: something else, such as no daemon that answers. An edit was not made.
	ExitOther ExitCode = 1
	// ExitBadInput: the command line, a file, a name or a request is wrong. Nothing
	// was changed or run.
	ExitBadInput ExitCode = 2
	// ExitRefused: an edit or a checked file is not valid. Nothing was changed.
	ExitRefused ExitCode = 3
	// ExitConflict: the row was changed by another edit. Nothing was changed.
	ExitConflict ExitCode = 4
	// ExitUnknown: an edit may be in force, or a request may have run.
	ExitUnknown ExitCode = 5
	// ExitNotRun: a request was certainly not run.
	ExitNotRun ExitCode = 6
	// ExitFailed: a request ran and failed.
	ExitFailed ExitCode = 7
)

// ExitError ends a command with an exit code.
type ExitError struct {
	Code ExitCode
	// Err is nil when the command has printed all there is to say.
	Err error
}

// Error returns the message, if there is one.
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

// exitCode chooses the exit code of an error.
func exitCode(err error) ExitCode {
	var exit *ExitError
	var syntax *rowtext.SyntaxError
	var status *operatorapi.ErrorStatusCode
	var lostReply *operatorclient.LostReplyError
	var outcomeErr *callerclient.OutcomeError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &syntax):
		return ExitBadInput
	case errors.As(err, &lostReply):
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

// inputCodes are the causes of "not run" that sending again doesn't mend.
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
