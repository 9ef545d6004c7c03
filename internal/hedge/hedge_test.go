package hedge

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var request = Request{
	Pool:   "p",
	Kind:   "k",
	Tokens: 1000,
}

// usualTime is the time of a request with 1000 tokens in warm.
const usualTime = 100 * time.Millisecond

// warm returns a decider that has seen requests of which one in 50 took ten times as long as usual. A token
// takes 50 us, and the rest 50 ms.
func warm(limit float64) *Decider {
	d := New(Config{
		ExtraWork: limit,
	})
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		r := request
		r.Tokens = rng.IntN(2000)
		took := 50*time.Millisecond + time.Duration(r.Tokens)*50*time.Microsecond
		if i%50 == 0 && i > 1000 {
			took *= 10
		}
		a := d.Begin(r, Load{})
		a.Ended(took)
		a.Worked(took)
		time.Sleep(10 * time.Millisecond)
	}
	return d
}

// TestExpectedTime guards against long prompts and loaded upstreams that count as slow.
func TestExpectedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := warm(0.05)
		expected := func(tokens int, l Load) float64 {
			r := request
			r.Tokens = tokens
			return d.Begin(r, l).Expected().Seconds()
		}
		const precision = 0.15 // A fiftieth of the requests count as four times the usual time.
		require.InEpsilon(t, 0.1, expected(1000, Load{}), precision)
		require.InEpsilon(t, 0.2, expected(3000, Load{}), precision)
		base := expected(1000, Load{})
		for _, c := range []struct {
			load   Load
			factor float64
		}{
			{
				load: Load{
					Pace: 3,
				},
				factor: 3,
			},
			{
				load: Load{
					Queued: 8,
					Slots:  16,
				},
				factor: 1.5,
			},
			{
				load: Load{
					Pace:   -1,
					Queued: -1,
				},
				factor: 1,
			},
			{
				load: Load{
					Pace: 1e9,
				},
				factor: maxPace,
			},
		} {
			require.InEpsilon(t, c.factor*base, expected(1000, c.load), 1e-6)
		}
	})
}

// TestDecision guards against hedges that gain less than they cost, and against hedges that add to an overload.
func TestDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := warm(0.05).Begin(request, Load{})
		check, ok := a.CheckAfter()
		require.True(t, ok)
		require.Greater(t, check, usualTime/2)
		require.Less(t, check, 3*usualTime)
		wait := func(elapsed time.Duration, p Pool) Reason {
			w, ok := a.Decide(elapsed, p).(Wait)
			require.True(t, ok)
			require.Positive(t, w.After)
			return w.Reason
		}
		require.Equal(t, PoolFull, wait(check, Pool{
			Slots: 100,
		}))
		require.Equal(t, PoolFull, wait(check, Pool{
			Slots: 100,
			Free:  9,
		}))
		require.Equal(t, Queueing, wait(check, Pool{
			Slots:  100,
			Free:   50,
			Queued: 1,
		}))
		require.Equal(t, NotWorth, wait(usualTime/100, idlePool))
		h, ok := a.Decide(check, idlePool).(Hedge)
		require.True(t, ok)
		require.Greater(t, h.Gain, h.Cost)
		h.Reservation.Cancel()
	})
}

// TestLoadedUpstreamIsHedgedEarlier guards against requests that wait as long for a hedge, in multiples of the time that
// is expected at a slow upstream, as at others, although another upstream would be much faster.
func TestLoadedUpstreamIsHedgedEarlier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := warm(0.05)
		usual, ok := d.Begin(request, Load{}).CheckAfter()
		require.True(t, ok)
		slow, ok := d.Begin(request, Load{
			Pace: 8,
		}).CheckAfter()
		require.True(t, ok)
		require.Less(t, slow, 4*usual)
	})
}

// TestReservation guards against hedges in flight at the same time that together exceed what was earned, and against
// debts that are forgotten.
func TestReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkBudget(Config{
			ExtraWork: 0.1,
		}.withDefaults())
		require.Nil(t, b.reserve(0.001), "nothing earned")
		b.earn(10)
		first := b.reserve(0.7)
		require.NotNil(t, first)
		require.Nil(t, b.reserve(0.7), "the first one is in flight")
		first.Settle(2 * time.Second)
		first.Settle(0)
		require.InDelta(t, -1, b.available(), 1e-9)
		time.Sleep(time.Hour)
		require.InDelta(t, -1, b.available(), 1e-9, "a debt stays")
		b.earn(30)
		require.InDelta(t, 2, b.available(), 1e-9)
		time.Sleep(time.Hour)
		require.Less(t, b.available(), 1e-3, "what was earned long ago is no right to a burst")
	})
}

// TestHedgedAnswersStayKnown guards against slow answers that are forgotten because all of them are hedged.
func TestHedgedAnswersStayKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := warm(0.05)
		for i := range 60_000 {
			a := d.Begin(request, Load{})
			if i%50 == 0 {
				a.Abandoned(5 * usualTime / 2)
			} else {
				a.Ended(usualTime)
			}
			a.Worked(usualTime)
			time.Sleep(10 * time.Millisecond)
		}
		_, ok := d.Begin(request, Load{}).CheckAfter()
		require.True(t, ok)
	})
}

// TestSomeSlowAnswersAreNotHedged guards against a distribution that is made of guesses alone.
func TestSomeSlowAnswersAreNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := warm(1).Begin(request, Load{})
		left := 0
		for range 2 * sampleInterval {
			switch v := a.Decide(2*usualTime, idlePool).(type) {
			case Hedge:
				v.Reservation.Cancel()
			case Never:
				require.Equal(t, Sample, v.Reason)
				left++
			}
		}
		require.Equal(t, 2, left)
	})
}

// TestTooFewObservations guards against decisions from a handful of answers, and against observations that outlive
// their window.
func TestTooFewObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{
			ExtraWork: 1,
		})
		for range defaultMinObservations - 1 {
			d.Begin(request, Load{}).Ended(usualTime)
		}
		_, ok := d.Begin(request, Load{}).CheckAfter()
		require.False(t, ok)
		require.IsType(t, Never{}, d.Begin(request, Load{}).Decide(time.Hour, idlePool))

		d = warm(0.05)
		time.Sleep(time.Hour)
		_, ok = d.Begin(request, Load{}).CheckAfter()
		require.False(t, ok)
	})
}

// TestOff guards against work for each request while nothing may be hedged.
func TestOff(t *testing.T) {
	d := New(Config{})
	require.Zero(t, testing.AllocsPerRun(100, func() {
		a := d.Begin(request, Load{})
		a.Ended(usualTime)
		a.Worked(usualTime)
		if _, ok := a.CheckAfter(); ok {
			t.Fail()
		}
	}))
}

func BenchmarkRequest(b *testing.B) {
	d := New(Config{
		ExtraWork: 0.02,
	})
	rng := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		a := d.Begin(request, Load{})
		a.CheckAfter()
		a.Ended(time.Duration((1 + rng.ExpFloat64()) * float64(usualTime)))
		a.Worked(usualTime)
	}
}
