package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// holdTime is how long a slot is held in these tests.
const holdTime = 100 * time.Millisecond

// busyController returns a controller whose pool has one slot, with a known hold time, that is held for long, and
// waiting requests that wait for it with the deadline.
func busyController(t *testing.T, maxQueue, waiting int, deadline time.Duration) *Controller {
	t.Helper()
	c := New(Config{
		MaxQueue: maxQueue,
	})
	slot, err := c.Acquire(t.Context(), slotRequest("w", deadline, holdTime))
	require.NoError(t, err)
	time.Sleep(holdTime)
	slot.Release()
	_, err = c.Acquire(t.Context(), slotRequest("w", deadline, holdTime))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for range waiting {
		go func() { _, _ = c.Acquire(ctx, slotRequest("w", deadline, holdTime)) }() // It ends with the test.
	}
	synctest.Wait()
	require.Equal(t, waiting, c.Waiting("p"))
	return c
}

func slotRequest(workspace string, deadline, service time.Duration) Request {
	return Request{
		Pool:        pool(nil),
		Slots:       1,
		Workspace:   workspace,
		Deadline:    time.Now().Add(deadline),
		ServiceTime: service,
	}
}

// requireRejected requires that Check and Acquire reject r at once, with the same code.
func requireRejected(t *testing.T, c *Controller, r Request, code string) {
	t.Helper()
	var rejected *RejectedError
	require.ErrorAs(t, c.Check(r), &rejected)
	require.Equal(t, code, rejected.Code)
	began := time.Now()
	_, err := c.Acquire(t.Context(), r)
	require.ErrorAs(t, err, &rejected)
	require.Equal(t, code, rejected.Code)
	require.Equal(t, began, time.Now(), "the request waited before it was rejected")
}

// TestCheckFullQueue guards against stages that run although the queue of a later stage is full, so that the
// request fails there.
func TestCheckFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := busyController(t, 4, 4, time.Minute)
		requireRejected(t, c, slotRequest("w", time.Minute, holdTime), CodeQueueFull)
		// Another workspace displaces a waiter of the one that fills the queue.
		require.NoError(t, c.Check(slotRequest("other", time.Minute, holdTime)))
		require.Equal(t, 4, c.Waiting("p"), "Check displaces no waiter")
	})
}

// TestCheckMoreSlots guards against requests that wait while slots are free because Check has learned of more
// slots and granted none.
func TestCheckMoreSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := busyController(t, 4, 2, time.Minute)
		r := slotRequest("w", time.Minute, holdTime)
		r.Slots = 3
		require.NoError(t, c.Check(r))
		require.Zero(t, c.Waiting("p"))
	})
}

// TestEstimateInOrderOfQueue guards against a request that is accepted although those before it in the queue take
// all its time: the queue is ordered by deadline, whatever time the requests take afterwards.
func TestEstimateInOrderOfQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := busyController(t, 200, 150, 19*time.Second)
		requireRejected(t, c, slotRequest("w", 20*time.Second, 17*time.Second), CodeDeadline)
	})
}
