package hedge

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// load is a load of requests at a pool in which some answers are slow.
type load struct {
	upstreams     int
	slowUpstreams int
	// slowAnswers is the share of answers that are slow at any upstream, and slowness how much longer these and those
	// of slow upstreams take.
	slowAnswers float64
	slowness    float64
	deciders    int
	requests    int // for each decider
	interval    time.Duration
	// burst is the number of requests that every decider gets at once in the middle. All answers are slow from then on
	// for slowSpell.
	burst     int
	slowSpell time.Duration
	limit     float64

	spellFrom time.Time

	mu    sync.Mutex
	times []time.Duration
	work  time.Duration
	extra time.Duration
	made  int
	// excess is the most by which extra work has exceeded the limit of the work so far.
	excess time.Duration
}

// answer returns the time of an answer at an upstream.
func (l *load) answer(rng *rand.Rand, tokens, upstream int) time.Duration {
	const base, perToken = 50 * time.Millisecond, 100 * time.Microsecond
	d := float64(base+time.Duration(tokens)*perToken) * (0.8 + 0.4*rng.Float64())
	inSpell := !time.Now().Before(l.spellFrom) && time.Since(l.spellFrom) < l.slowSpell
	if upstream < l.slowUpstreams || rng.Float64() < l.slowAnswers || inSpell {
		d *= l.slowness
	}
	return time.Duration(d)
}

func (l *load) play(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		l.spellFrom = time.Now().Add(time.Duration(l.requests/2) * l.interval)
		var deciders sync.WaitGroup
		for i := range l.deciders {
			deciders.Go(func() { l.playDecider(uint64(i)) })
		}
		deciders.Wait()
	})
	slices.Sort(l.times)
	t.Logf("limit %v: p50 %v, p95 %v, p99 %v, p99.9 %v, extra work %.2f%%, hedges %d of %d", l.limit,
		l.quantile(0.5), l.quantile(0.95), l.quantile(0.99), l.quantile(0.999), 100*l.extraShare(), l.made, len(l.times))
}

func (l *load) playDecider(seed uint64) {
	d := New(Config{
		ExtraWork: l.limit,
	})
	var requests sync.WaitGroup
	for i := range l.requests {
		n := 1
		if i == l.requests/2 {
			n += l.burst
		}
		for j := range n {
			requests.Go(func() { l.serve(d, rand.New(rand.NewPCG(seed, uint64(i)<<20|uint64(j)))) })
		}
		time.Sleep(l.interval)
	}
	requests.Wait()
}

// serve plays one request with at most one hedge.
func (l *load) serve(d *Decider, rng *rand.Rand) {
	tokens := 100 + rng.IntN(2000)
	upstream := rng.IntN(l.upstreams)
	first := l.answer(rng, tokens, upstream)
	a := d.Begin(Request{
		Pool:   "p",
		Kind:   "k",
		Tokens: tokens,
	}, Load{})
	began := time.Now()
	check, ok := a.CheckAfter()
	for ok && check < first {
		time.Sleep(check - time.Since(began))
		switch v := a.Decide(check, idlePool).(type) {
		case Wait:
			check += v.After
		case Never:
			ok = false
		case Hedge:
			second := l.answer(rng, tokens, (upstream+1+rng.IntN(l.upstreams-1))%l.upstreams)
			l.serveBoth(a, v, check, first, second)
			return
		}
	}
	time.Sleep(first - time.Since(began))
	a.Ended(first)
	a.Worked(first)
	l.record(first, first, 0)
}

// serveBoth plays the rest of a request whose second attempt takes second and started after check.
func (l *load) serveBoth(a Attempt, h Hedge, check, first, second time.Duration) {
	if check+second < first {
		time.Sleep(second)
		h.Reservation.Settle(check + second)
		a.Abandoned(check + second)
		a.Worked(second)
		l.record(check+second, second, check+second)
		return
	}
	time.Sleep(first - check)
	h.Reservation.Settle(first - check)
	a.Ended(first)
	a.Worked(first)
	l.record(first, first, first-check)
}

func (l *load) record(took, work, extra time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, took)
	l.work += work
	l.extra += extra
	if extra > 0 {
		l.made++
	}
	l.excess = max(l.excess, l.extra-time.Duration(l.limit*float64(l.work)))
}

func (l *load) quantile(q float64) time.Duration {
	return l.times[int(q*float64(len(l.times)-1))].Round(time.Millisecond)
}

func (l *load) extraShare() float64 { return l.extra.Seconds() / l.work.Seconds() }

var idlePool = Pool{
	Slots: 100,
	Free:  50,
}
