// Package bubble runs the cases of a property test on a paused clock. rapid can't
// run inside a bubble of testing/synctest, and its T can't be failed from another
// goroutine, so each case gets a bubble and its failure is carried out of it.
package bubble

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// failure unwinds a case whose requirement does not hold.
type failure struct {
	message string
}

// T is the part of a test that a case needs. It implements require.TestingT.
type T struct {
	message string
}

// Errorf notes a failure.
func (t *T) Errorf(format string, args ...any) {
	t.message += fmt.Sprintf(format, args...)
}

// FailNow ends the case.
func (t *T) FailNow() {
	panic(failure{
		message: t.message,
	})
}

// Run runs one case in a bubble of its own and returns what failed, or "".
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
