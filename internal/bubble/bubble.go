// Package bubble runs the cases of a property test on the synthetic clock of
// testing/synctest. rapid can't run inside a synctest bubble, and its T can't be failed
// from another goroutine, so each case runs in its own bubble, and Run returns its
// failure to the rapid check outside.
package bubble

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// failure is the value with which FailNow panics to end a case.
type failure struct {
	message string
}

// T collects the failure messages of one case. It implements require.TestingT.
type T struct {
	message string
}

// Errorf records a failure.
func (t *T) Errorf(format string, args ...any) {
	t.message += fmt.Sprintf(format, args...)
}

// FailNow ends the case.
func (t *T) FailNow() {
	panic(failure{
		message: t.message,
	})
}

// Run runs one case in its own bubble and returns its failure messages, or "" if it
// passed.
func Run(t *testing.T, run func(t *T)) (failed string) {
	synctest.Test(t, func(*testing.T) {
		c := &T{}
		defer func() {
			failed = c.message
			if r := recover(); r != nil {
				if _, ok := r.(failure); !ok {
					panic(r)
				}
			}
		}()
		run(c)
	})
	return failed
}
