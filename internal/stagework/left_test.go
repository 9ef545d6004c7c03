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
	u.measureInherited(total, began, began.Add(4*time.Second))
	for _, step := range []struct {
		after      time.Duration
		freeMemory int64
	}{
		{
			after:      0,
			freeMemory: 0,
		},
		{
			after:      time.Second,
			freeMemory: 200,
		},
		{
			after:      2 * time.Second,
			freeMemory: 400,
		},
		{
			after:      3500 * time.Millisecond,
			freeMemory: 700,
		},
		{
			after:      4 * time.Second,
			freeMemory: 800,
		},
		{
			after:      9 * time.Second,
			freeMemory: 800,
		},
	} {
		u.expireEstimates(began.Add(step.after))
		require.Equal(t, step.freeMemory, u.freeMemory(total), "after %v", step.after)
	}
}
