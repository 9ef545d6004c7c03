// Package panics keeps a panic in the handling of one message, call or response from ending the process. It is for
// code that handles bytes from outside and releases its locks by defer: only that message, call or response fails.
// Each panic is logged with its stack and counted in sequoiafork_panics_total. A panic in a loop that handles nothing
// from outside ends the process as before.
//
//	records, err := panics.Value(logger, "records", func() ([]Record, error) { return decode(body) })
package panics

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Error reports a panic.
type Error struct {
	// Where names the code that handled the message.
	Where string
	// Value is the value of the panic.
	Value any
}

// Error returns a message with the value of the panic.
func (e *Error) Error() string { return fmt.Sprintf("panic in %s: %v", e.Where, e.Value) }

// Call returns what f returns, or an *Error if f panics. where names the code in the log and the metric. logger may
// be nil. Call is safe for concurrent use.
func Call(logger *zap.Logger, where string, f func() error) error {
	_, err := Value(logger, where, func() (struct{}, error) { return struct{}{}, f() })
	return err
}

// Value returns what f returns, or the zero value and an *Error if f panics. It is like Call otherwise.
func Value[T any](logger *zap.Logger, where string, f func() (T, error)) (result T, err error) {
	defer func() {
		if v := recover(); v != nil {
			report(logger, where, v)
			var zero T
			result, err = zero, &Error{
				Where: where,
				Value: v,
			}
		}
	}()
	return f()
}

// Handler returns a handler that reports the panics of h. The connection of the request is closed, so that its caller
// does not take what was written for a complete response. logger may be nil.
func Handler(logger *zap.Logger, where string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v != http.ErrAbortHandler {
				report(logger, where, v)
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}

// report logs and counts a panic. It is called while the panicking goroutine unwinds, so that the stack shows where
// the panic began.
func report(logger *zap.Logger, where string, value any) {
	metrics.GetOrCreateCounter(fmt.Sprintf("sequoiafork_panics_total{where=%q}", where)).Inc()
	if logger == nil {
		return
	}
	logger.Error("recovered from a panic", zap.String("where", where), zap.String("value", fmt.Sprint(value)),
		zap.String("stack", string(debug.Stack())))
}
