package pipeline

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNoCommitAfterTheDeadline guards against a non-idempotent call that is sent after the deadline of its request, because
// the process was suspended and the end of the context was not noticed yet.
func TestNoCommitAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := func(deadline time.Time) *requestRun {
			return &requestRun{
				executor: New(Config{}),
				req: Request{
					Deadline: deadline,
				},
				cancel: func() {},
			}
		}
		late := run(time.Now().Add(time.Second))
		time.Sleep(5 * time.Second)
		require.False(t, late.commit())
		require.True(t, run(time.Now().Add(time.Second)).commit())
	})
}
