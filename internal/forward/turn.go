package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/upstream"
)

// maxTurnDelay is how long after its turn an attempt at an upstream that limits its rate may start. A process that was
// suspended finds many turns past at once: together they would exceed the limit.
const maxTurnDelay = 250 * time.Millisecond

// errNoTurn reports an attempt that was not made, because the request ended, or the upstream stopped
// taking work, before its turn, or because its turn has passed.
var errNoTurn = errors.New("the request ended or the upstream stopped taking work before the request's turn at it")

// awaitTurn waits until the attempt for a choice may start. It returns an error if the attempt is not to
// be made.
func awaitTurn(ctx context.Context, choice upstream.Choice) *pipeline.CallError {
	if choice.Delay <= 0 {
		return nil
	}
	turn := time.NewTimer(time.Until(choice.At))
	defer turn.Stop()
	select {
	case <-turn.C:
	case <-ctx.Done():
	}
	late := time.Since(choice.At)
	switch {
	case ctx.Err() != nil:
		return noTurn(choice, errNoTurn)
	case late > maxTurnDelay:
		return noTurn(choice, fmt.Errorf("%w: it was %v ago", errNoTurn, late.Round(time.Millisecond)))
	case !choice.BeginTurn():
		return noTurn(choice, errNoTurn)
	}
	return nil
}

// noTurn returns the error of an attempt that is not made.
func noTurn(choice upstream.Choice, err error) *pipeline.CallError {
	return &pipeline.CallError{
		Addr:      choice.Addr,
		Execution: pipeline.NotSent,
		Err:       err,
	}
}
