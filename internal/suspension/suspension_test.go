package suspension

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPass guards against a suspension that goes unnoticed because the process was stopped, which both clocks count, or
// the machine slept, which only one of them counts.
func TestPass(t *testing.T) {
	const tick, gap = 100 * time.Millisecond, 5 * time.Second
	began := time.Now()
	var d Detector
	require.Zero(t, d.pass(began, time.Hour))
	now, boot := began.Add(tick), time.Hour+tick
	require.Equal(t, tick, d.pass(now, boot))
	now, boot = now.Add(gap), boot+gap
	require.Equal(t, gap, d.pass(now, boot), "stopped")
	now, boot = now.Add(tick), boot+gap
	require.Equal(t, gap, d.pass(now, boot), "asleep")
	now = now.Add(gap)
	require.Equal(t, gap, d.pass(now, 0), "time since boot unknown")
	require.Less(t, d.pass(now.Add(tick), tick), gap)
}

func TestTimeSinceBootIsKnown(t *testing.T) {
	require.Positive(t, sinceBoot())
}
