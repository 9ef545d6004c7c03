package freshness

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWaitSharesChecksThatBeginLater guards against a caller that gets the result of a check which began before it asked,
// and against a check for each caller.
func TestWaitSharesChecksThatBeginLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checks := 0
		c := New(Config{
			Check: func(context.Context) error {
				checks++
				time.Sleep(time.Second)
				return nil
			},
			Timeout: time.Minute,
		})
		began := time.Now()
		go func() { _ = c.Wait(t.Context()) }()
		time.Sleep(500 * time.Millisecond)
		for range 3 {
			go func() { _ = c.Wait(t.Context()) }()
		}
		require.NoError(t, c.Wait(t.Context()))
		require.Equal(t, 2*time.Second, time.Since(began))
		synctest.Wait()
		require.Equal(t, 2, checks)
	})
}

// TestWaitReportsErrors guards against a failed check that counts as one, and a check that never ends.
func TestWaitReportsErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failure := errors.New("failure")
		c := New(Config{
			Check:   func(context.Context) error { return failure },
			Timeout: time.Second,
		})
		require.ErrorIs(t, c.Wait(t.Context()), failure)
		c = New(Config{
			Check: func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			},
			Timeout: time.Second,
		})
		require.ErrorIs(t, c.Wait(t.Context()), context.DeadlineExceeded)
	})
}
