package quarantine

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// troubleSeeds is the number of plays of ordinary trouble if TROUBLE_SEEDS is not set.
	troubleSeeds  = 100
	troubleLength = 40 * time.Second
	troubleTick   = 10 * time.Millisecond
	// downTime is how long an upstream is down that has ended.
	downTime = 3 * time.Second
	// maxRunTime bounds the time for which a request runs.
	maxRunTime      = 2 * time.Second
	troubleAttempts = 2
	// sharedDocuments is the number of documents that prompts share; all share one more part.
	sharedDocuments = 12
)

// TestOrdinaryTroubleHoldsNoSoundRequest guards against holding what requests share when upstreams end for other
// reasons: some at once, all of them, one after the other, again and again.
func TestOrdinaryTroubleHoldsNoSoundRequest(t *testing.T) {
	seeds := troubleSeeds
	if text := os.Getenv("TROUBLE_SEEDS"); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		require.NoError(t, err, "TROUBLE_SEEDS")
	}
	requests, ends := 0, 0
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			var p *trouble
			synctest.Test(t, func(*testing.T) {
				p = newTrouble(uint64(seed))
				p.play()
			})
			requests += p.requests
			ends += p.ends
			require.Empty(t, p.refused)
		})
	}
	t.Logf("%d seeds: %d requests, %d ends of upstreams", seeds, requests, ends)
}

// trouble is a play of sound requests on upstreams that end.
type trouble struct {
	rand     *rand.Rand
	registry *Registry
	// upstreams hold the attempts in progress, by upstream.
	upstreams []*troubledUpstream
	// mean is the mean number of requests that start in a tick.
	mean     float64
	faults   []fault
	began    time.Time
	requests int
	ends     int
	refused  []string
}

// troubledUpstream is one upstream. Its incarnation counts its starts.
type troubledUpstream struct {
	incarnation int
	downUntil   time.Time
	running     []*running
}

// running is an attempt in progress.
type running struct {
	req      Request
	attempts int
	began    time.Time
	ends     time.Time
}

// fault makes a share of the upstreams end, one after another with a gap.
type fault struct {
	at    time.Time
	count int
	gap   time.Duration
}

func newTrouble(seed uint64) *trouble {
	p := &trouble{
		rand:     rand.New(rand.NewPCG(seed, 1)),
		registry: New(Config{}),
		began:    time.Now(),
	}
	sizes := []int{3, 5, 12, 30}
	for range sizes[p.rand.IntN(len(sizes))] {
		p.upstreams = append(p.upstreams, &troubledUpstream{})
	}
	p.mean = []float64{0.05, 0.3, 1}[p.rand.IntN(3)]
	at := p.began
	for at.Before(p.began.Add(troubleLength)) {
		at = at.Add(time.Duration(p.rand.Int64N(int64(8 * time.Second))))
		counts := []int{1, len(p.upstreams)*15/100 + 1, len(p.upstreams) / 2, len(p.upstreams)}
		gaps := []time.Duration{0, 0, 5 * time.Millisecond, 300 * time.Millisecond, time.Second}
		p.faults = append(p.faults, fault{
			at:    at,
			count: counts[p.rand.IntN(len(counts))],
			gap:   gaps[p.rand.IntN(len(gaps))],
		})
	}
	return p
}

func (p *trouble) play() {
	var endAt []time.Time
	for _, f := range p.faults {
		for i := range f.count {
			endAt = append(endAt, f.at.Add(time.Duration(i)*f.gap))
		}
	}
	slices.SortFunc(endAt, time.Time.Compare)
	for ; time.Since(p.began) < troubleLength; time.Sleep(troubleTick) {
		for len(endAt) > 0 && !time.Now().Before(endAt[0]) {
			endAt = endAt[1:]
			p.end(p.upstreams[p.rand.IntN(len(p.upstreams))])
		}
		p.complete()
		for n := p.rand.ExpFloat64() * p.mean; n > 0.5; n-- {
			p.requests++
			p.send(p.newRequest(), 0)
		}
	}
}

// newRequest returns a request with a prompt, of which one in four has come before.
func (p *trouble) newRequest() Request {
	content := p.requests
	if p.rand.IntN(4) == 0 {
		content = p.rand.IntN(3)
	}
	return Request{
		ID: strconv.Itoa(p.requests),
		Keys: []Key{
			PartKey("s", "shared", 0),
			PartKey("s", fmt.Sprint("document ", p.rand.IntN(sharedDocuments)), 1),
			ContentKey(Content{
				Target: strconv.Itoa(content),
			}),
		},
	}
}

// send sends a request to an upstream that is up.
func (p *trouble) send(req Request, attempts int) {
	if err := p.registry.BeginAttempt(req); err != nil {
		p.refused = append(p.refused, fmt.Sprintf("%v after the start: %v", time.Since(p.began), err))
		return
	}
	start := p.rand.IntN(len(p.upstreams))
	for i := range p.upstreams {
		u := p.upstreams[(start+i)%len(p.upstreams)]
		if time.Now().Before(u.downUntil) {
			continue
		}
		u.running = append(u.running, &running{
			req:      req,
			attempts: attempts + 1,
			began:    time.Now(),
			ends:     time.Now().Add(time.Duration(p.rand.Int64N(int64(maxRunTime)))),
		})
		return
	}
}

// complete ends the attempts that are done.
func (p *trouble) complete() {
	for _, u := range p.upstreams {
		u.running = slices.DeleteFunc(u.running, func(a *running) bool {
			if time.Now().Before(a.ends) {
				return false
			}
			p.registry.Succeeded(a.req)
			return true
		})
	}
}

// end ends an upstream that is up, and sends its requests to others.
func (p *trouble) end(u *troubledUpstream) {
	if time.Now().Before(u.downUntil) {
		return
	}
	p.ends++
	u.incarnation++
	u.downUntil = time.Now().Add(downTime)
	broken := u.running
	u.running = nil
	e := End{
		Incarnation: fmt.Sprintf("%d/%d", slices.Index(p.upstreams, u), u.incarnation),
		At:          time.Now(),
	}
	for _, a := range broken {
		e.Attempts = append(e.Attempts, AttemptsOf(a.req, a.began)...)
	}
	p.registry.Ended(e)
	for _, a := range broken {
		if a.attempts < troubleAttempts {
			p.send(a.req, a.attempts)
		}
	}
}
