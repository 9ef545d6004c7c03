package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/table"
)

// floodLoad sends requests of one workspace to a pool whose hold times vary. A request
// that isn't complete at its deadline is cut then, as the pipeline does.
type floodLoad struct {
	requests int
	interval time.Duration
	slots    int
	meanHold time.Duration
	deadline time.Duration
}

// play returns the number of requests that were complete by their deadlines.
func (l floodLoad) play() int {
	const sigma = 0.4
	c := New(Config{})
	rng := rand.New(rand.NewPCG(1, 1))
	var answered atomic.Int64
	for i := range l.requests {
		hold := time.Duration(float64(l.meanHold) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
		go func() {
			// No deadline is at the instant of another request's arrival.
			deadline := time.Now().Add(l.deadline + time.Duration(i+1)*time.Nanosecond)
			slot, err := c.Acquire(context.Background(), Request{
				Pool: &table.Pool{
					Name: "p",
				},
				Slots:       l.slots,
				Workspace:   "w",
				Deadline:    deadline,
				ServiceTime: l.meanHold,
			})
			if err != nil {
				return
			}
			defer slot.Release()
			if left := time.Until(deadline); left < hold {
				time.Sleep(left)
				return
			}
			time.Sleep(hold)
			answered.Add(1)
		}()
		time.Sleep(l.interval)
	}
	time.Sleep(time.Minute)
	return int(answered.Load())
}

// TestFloodIsServedWithMargin guards against slots that a flood holds in vain: earliest
// deadline first starts requests that have just the mean hold time left, and half of them
// are cut at their deadline. 8 slots of one second have time for 192 requests from the
// first arrival to the last deadline.
func TestFloodIsServedWithMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := floodLoad{
			requests: 800,
			interval: 25 * time.Millisecond,
			slots:    8,
			meanHold: time.Second,
			deadline: 4 * time.Second,
		}
		require.GreaterOrEqual(t, load.play(), 182)
	})
}

// TestBurstIsServedInFull guards against a margin in a queue that the pool can serve in
// time: the requests that it passes over would be lost.
func TestBurstIsServedInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := floodLoad{
			requests: 24,
			interval: time.Millisecond,
			slots:    8,
			meanHold: time.Second,
			deadline: 8 * time.Second,
		}
		require.Equal(t, load.requests, load.play())
	})
}
