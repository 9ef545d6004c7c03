package upstream

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/table"
)

// speedLoad is a load of prompts on a pool in which every third upstream is faster for good, and in which momentary
// disturbances make a part of the responses slow.
type speedLoad struct {
	upstreams int
	// factor is how much faster every third upstream is.
	factor float64
	// disturbed is the part of the responses that take disturbance times as long.
	disturbed   float64
	disturbance float64
}

const (
	usualEventTime = 25 * time.Millisecond
	speedRequests  = 12_000
	speedInterval  = 2 * time.Millisecond
)

// play sends requests and returns the mean time between events in the second half of them, and the set.
func (l speedLoad) play() (time.Duration, *Set) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := New(Config{
		Self:       "d",
		SubsetSize: l.upstreams,
	})
	var hosts []Host
	factors := make(map[string]float64)
	for i := range l.upstreams {
		h := Host{
			Addr:    fmt.Sprintf("192.0.2.%d:80", i),
			Service: "m",
		}
		factors[h.Addr] = 1
		if i%3 == 0 {
			factors[h.Addr] = l.factor
		}
		hosts = append(hosts, h)
	}
	s.Replace(hosts)
	sum := time.Duration(0)
	for i := range speedRequests {
		c, err := s.Pick(Request{
			Pool: &table.Pool{
				Name:        "m",
				Service:     "m",
				Concurrency: 16,
			},
			Affinity: rng.Uint64N(2_000) + 1,
		})
		if err != nil {
			panic(err)
		}
		eventTime := float64(usualEventTime) / factors[c.Addr]
		if rng.Float64() < l.disturbed {
			eventTime *= l.disturbance
		}
		c.ObserveEventTime(time.Duration(eventTime))
		c.Done(Result{
			Latency: time.Duration(eventTime),
		})
		if i >= speedRequests/2 {
			sum += time.Duration(eventTime)
		}
		time.Sleep(speedInterval)
	}
	return sum / (speedRequests / 2), s
}

// TestPromptsPreferFastUpstreams guards against prompts that are placed evenly on upstreams that differ in speed for good,
// where two thirds of them wait 2.4 times as long as the others.
func TestPromptsPreferFastUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := speedLoad{
			upstreams:   60,
			factor:      2.4,
			disturbed:   0.15,
			disturbance: 2.5,
		}
		got, _ := load.play()
		evenly := time.Duration(float64(usualEventTime) * (2 + 1/load.factor) / 3 * (1 + load.disturbed*(load.disturbance-1)))
		t.Logf("mean time between events %v, evenly placed %v", got, evenly)
		require.Less(t, float64(got), 0.8*float64(evenly))
	})
}

// TestDisturbancesMoveNoPrompts guards against prompts that move to other upstreams, where they have to be read again,
// because of momentary disturbances of upstreams that are equally fast.
func TestDisturbancesMoveNoPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s := speedLoad{
			upstreams:   60,
			factor:      1,
			disturbed:   0.15,
			disturbance: 2.5,
		}.play()
		moved := 0
		for _, m := range s.group("m").members {
			if m.speed.steps != 0 {
				moved++
			}
		}
		require.LessOrEqual(t, moved, 6, "of 60 upstreams, placed as faster or slower than the others")
	})
}
