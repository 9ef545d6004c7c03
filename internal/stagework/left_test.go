package stagework

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Results of an owner that is gone were made at any time before, so that they lapse
// evenly over their lifetime.
func TestMemoryLeftByAnotherOwnerLapsesEvenly(t *testing.T) {
	const total = 1000
	began := time.Now()
	u := newUpstream(Upstream{})
	u.held = 200
	u.measure(total, began, began.Add(4*time.Second))
	for _, step := range []struct {
		after time.Duration
		room  int64
	}{
		{
			after: 0,
			room:  0,
		},
		{
			after: time.Second,
			room:  200,
		},
		{
			after: 2 * time.Second,
			room:  400,
		},
		{
			after: 3500 * time.Millisecond,
			room:  700,
		},
		{
			after: 4 * time.Second,
			room:  800,
		},
		{
			after: 9 * time.Second,
			room:  800,
		},
	} {
		u.expire(began.Add(step.after))
		require.Equal(t, step.room, u.room(total), "after %v", step.after)
	}
}
