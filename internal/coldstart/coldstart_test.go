package coldstart

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPartsOfACutShareTheLimit guards against daemons that are cut into any number of parts, each of which sends its part
// of the limit, and together exceed it in some second.
func TestPartsOfACutShareTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Float64Range(0, 200).Draw(rt, "limit")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 120), 1, 8).Draw(rt, "sizes")
		sole := rapid.Bool().Draw(rt, "sole")
		known := 0
		for _, n := range sizes {
			known += n
		}
		sum := 0
		for _, living := range sizes {
			for rank := range living {
				sum += Share{
					Rank:   rank,
					Living: living,
					Known:  known,
					Sole:   sole,
				}.units(limit)
			}
		}
		require.LessOrEqual(rt, float64(sum), limit)
	})
}

// TestStrangersShareTheLimit guards against two views that know nothing of each other and together exceed the limit.
func TestStrangersShareTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Float64Range(2, 200).Draw(rt, "limit")
		sum := 0
		for range 2 {
			living := rapid.IntRange(1, 300).Draw(rt, "living")
			for rank := range living {
				sum += Share{
					Rank:   rank,
					Living: living,
					Known:  living,
				}.units(limit)
			}
		}
		require.LessOrEqual(rt, float64(sum), limit)
	})
}

// TestOneRequestFits guards against an upstream that never gets a request although its limit allows one a second.
func TestOneRequestFits(t *testing.T) {
	s := Share{
		Living: 33,
		Known:  33,
	}
	require.Equal(t, 1, s.units(1))
	require.Zero(t, s.units(0.9))
	s.Known = 66
	require.Zero(t, s.units(1), "the other half may send")
}

// TestCensus guards against a number of daemons that falls with the membership when it is cut, and against one that
// stays up forever when daemons are removed for good.
func TestCensus(t *testing.T) {
	now := time.Now()
	c := NewCensus()
	listed := make(map[string]bool)
	for i := range 30 {
		addr := fmt.Sprint(i)
		listed[addr] = true
		c.Learn(addr, now)
	}
	now = now.Add(censusMemory)
	c.Alive("1", now)
	c.Alive("new", now)
	require.Equal(t, 31, c.Known(now))
	now = now.Add(time.Second)
	for addr := range listed {
		c.Learn(addr, now)
	}
	c.Forget(listed, now)
	require.Equal(t, 2, c.Known(now))
	now = now.Add(2 * censusMemory)
	c.Forget(nil, now)
	require.Empty(t, c.seen)
}

// TestSuspension guards against a daemon that keeps its rights when it was suspended, by whichever clock that shows, and
// against one that loses them for ordinary delays.
func TestSuspension(t *testing.T) {
	began := time.Now()
	r := NewRights(began)
	require.Equal(t, began.Add(settleTime), r.standing(began).from, "it has just started")
	r.Beat(began.Add(maxBeatGap))
	require.Zero(t, r.Suspensions())
	woken := began.Add(maxBeatGap + 2*time.Second)
	require.Equal(t, woken.Add(settleTime), r.standing(woken).from, "a request comes before the first beat")
	r.Beat(woken)
	require.Equal(t, 1, r.Suspensions())
	require.Equal(t, woken.Add(doubtTime), r.standing(woken).doubtUntil)

	r.Beat(woken.Add(time.Second))
	resumed := woken.Add(2 * time.Second).Round(0).Add(time.Minute)
	r.Beat(resumed)
	require.Equal(t, 2, r.Suspensions(), "only the wall clock has gone on")
}

// TestLedger guards against upstreams that are taken for warm or cold against the rule of the page: what the list says,
// new ones of which it says nothing, and all of a data centre whose evacuation has ended.
func TestLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const start = 10 * time.Second
		now := time.Now()
		l := NewLedger()
		cold := func(incarnation, dataCentre string, listed Mark) time.Duration {
			m := l.Mark(Upstream{
				Incarnation: incarnation,
				DataCentre:  dataCentre,
				Listed:      listed,
			}, Spec{
				Start:     start,
				PerSecond: 15,
			}, Bound{
				Over:  1.5,
				Slack: 5,
			})
			require.InDelta(t, 27.5, m.Limit, 1e-9)
			return max(m.Until.Sub(now), 0)
		}
		l.Observe([]string{"old"}, false, now)
		l.Observe([]string{"old", "new", "told"}, true, now)
		require.Zero(t, cold("old", "a", Mark{}))
		require.Equal(t, start, cold("new", "a", Mark{}))
		require.Zero(t, cold("told", "a", Mark{
			Known: true,
		}), "the list says that it is warm")
		require.Equal(t, time.Second, cold("old", "a", Mark{
			Known: true,
			Until: now.Add(time.Second),
		}))
		l.EndEvacuation("a", now)
		for _, incarnation := range []string{"old", "new", "told"} {
			require.Equal(t, start, cold(incarnation, "a", Mark{
				Known: true,
				Until: now.Add(time.Second),
			}))
		}
		require.Zero(t, cold("old", "b", Mark{}))

		l.Observe(nil, true, now)
		l.Observe([]string{"old"}, true, now.Add(time.Second))
		require.Zero(t, cold("old", "b", Mark{}), "it was listed a moment ago")
		l.Observe(nil, true, now.Add(2*seenTTL))
		require.Empty(t, l.listedAt)
	})
}

// TestNoRate guards against services without a cold rate that get a limit from the bounds of others.
func TestNoRate(t *testing.T) {
	m := NewLedger().Mark(Upstream{
		Listed: Mark{
			Known: true,
			Until: time.Now().Add(time.Minute),
		},
	}, Spec{
		Start: time.Minute,
	}, Bound{
		Slack: 5,
	})
	require.Zero(t, m)
}
