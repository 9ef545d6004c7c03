package stagework

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The results of a previous owner were created at unknown times, so their memory is assumed
// to become free evenly over their lifetime.
func TestInheritedMemoryExpiresEvenly(t *testing.T) {
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
