package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/table"
)

const (
	// coldPerSecond and coldLimit are the rate of a cold upstream, and how many requests it may get in any second,
	// which are mostCold whole ones.
	coldPerSecond = 15.0
	coldLimit     = 27.5
	mostCold      = 27
	// coldTime is how long the upstreams of a play are cold, from coldFrom on.
	coldTime = 9 * time.Second
	coldFrom = 4 * time.Second
	// coldMaxDelay is how long a request of a play may wait.
	coldMaxDelay = 1500 * time.Millisecond
	// coldJitter is by how much requests are delayed on their way.
	coldJitter = 20 * time.Millisecond
	// coldBeat is the time between two beats of a daemon.
	coldBeat = 100 * time.Millisecond
)

// TestColdUpstreamsStayWithinTheirLimit guards against daemons that together send a cold upstream more requests in some
// second than it may get, whatever each knows of the others. The plays of "each daemon takes the whole rate" show that
// the count finds such daemons.
func TestColdUpstreamsStayWithinTheirLimit(t *testing.T) {
	datadriven.Walk(t, "testdata/cold", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			p := &coldPlay{
				random:   rand.New(rand.NewPCG(5, 6)),
				arrivals: make(map[string][]time.Time),
			}
			d.ScanArgs(t, "daemons", &p.count)
			d.ScanArgs(t, "upstreams", &p.upstreams)
			d.ScanArgs(t, "rate", &p.rate)
			d.ScanArgs(t, "view", &p.view)
			d.MaybeScanArgs(t, "frozen", &p.frozenCount)
			d.MaybeScanArgs(t, "started", &p.startedCount)
			out := ""
			synctest.Test(t, func(*testing.T) { out = p.run() })
			return out
		})
	})
}

// coldPlay is a load on daemons before a pool that becomes cold as a whole.
type coldPlay struct {
	count, upstreams, rate int
	// view names what the daemons know of each other, see views.
	view string
	// frozenCount daemons are suspended for some seconds, startedCount are started anew and know only themselves.
	frozenCount, startedCount int

	random *rand.Rand
	// end is when the upstreams are no longer cold.
	end      time.Time
	daemons  []*coldDaemon
	mu       sync.Mutex
	arrivals map[string][]time.Time
	// served, waited and rejected count the requests.
	served, waited, rejected int
}

// coldDaemon is a daemon of a play.
type coldDaemon struct {
	set    *Set
	rights *coldstart.Rights
	done   chan struct{}
	// frozenUntil is until when the daemon is suspended, in nanoseconds of the Unix epoch.
	frozenUntil atomic.Int64
}

// awake waits while the daemon is suspended.
func (d *coldDaemon) awake() {
	time.Sleep(time.Until(time.Unix(0, d.frozenUntil.Load())))
}

func (p *coldPlay) run() string {
	began := time.Now()
	p.end = began.Add(coldFrom + coldTime)
	for i := range p.count {
		p.daemons = append(p.daemons, p.startDaemon(i, began, p.viewOf(i)))
	}
	time.Sleep(coldFrom)
	p.scheduleTrouble(began)
	for time.Since(began) < coldFrom+coldTime {
		time.Sleep(time.Duration(p.random.ExpFloat64() / float64(p.rate) * float64(time.Second)))
		go p.request(p.daemon(p.random.IntN(p.count)), time.Duration(p.random.Int64N(int64(coldJitter))))
	}
	time.Sleep(2 * coldMaxDelay)
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("over the limit: %v\nused: %s\n", p.mostInASecond() > mostCold, p.used())
}

// daemon returns the daemon that runs at a place now.
func (p *coldPlay) daemon(i int) *coldDaemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.daemons[i]
}

// startDaemon starts a daemon with a list in which the upstreams are cold for coldTime from coldFrom after began.
func (p *coldPlay) startDaemon(i int, began time.Time, v coldstart.View) *coldDaemon {
	d := &coldDaemon{
		rights: coldstart.NewRights(time.Now()),
		done:   make(chan struct{}),
	}
	d.rights.SetView(v)
	d.set = New(Config{
		Seed: uint64(i),
		Self: strconv.Itoa(i),
		Cold: d.rights,
	})
	var hosts []Host
	for u := range p.upstreams {
		addr := fmt.Sprintf("192.0.2.1:%d", u+1)
		hosts = append(hosts, Host{
			Addr:        addr,
			Incarnation: addr,
			Service:     "llm",
			Cold: coldstart.Mark{
				Until: began.Add(coldFrom + coldTime),
				Limit: coldLimit,
			},
		})
	}
	d.set.Replace(hosts)
	go d.beat()
	return d
}

// beat keeps up the rights of a daemon unless it is suspended, until the play ends.
func (d *coldDaemon) beat() {
	for {
		d.awake()
		d.rights.Beat(time.Now())
		select {
		case <-time.After(coldBeat):
		case <-d.done:
			return
		}
	}
}

// stop ends the beats of the daemons.
func (p *coldPlay) stop() {
	for _, d := range p.daemons {
		close(d.done)
	}
	time.Sleep(time.Second)
}

// scheduleTrouble suspends and starts daemons while the upstreams are cold.
func (p *coldPlay) scheduleTrouble(began time.Time) {
	for _, d := range p.daemons[:p.frozenCount] {
		time.AfterFunc(2*time.Second, func() { d.frozenUntil.Store(time.Now().Add(3 * time.Second).UnixNano()) })
	}
	for i := range p.startedCount {
		time.AfterFunc(4*time.Second, func() {
			alone := coldstart.View{
				Self:  strconv.Itoa(i),
				Known: 1,
			}
			fresh := p.startDaemon(i, began, alone)
			time.AfterFunc(2*time.Second, func() { fresh.rights.SetView(p.viewOf(i)) })
			p.mu.Lock()
			defer p.mu.Unlock()
			close(p.daemons[i].done)
			p.daemons[i] = fresh
		})
	}
}

// request plays one request of a caller at a daemon. jitter is its delay on the way to the upstream.
func (p *coldPlay) request(d *coldDaemon, jitter time.Duration) {
	d.awake()
	choice, err := d.set.Pick(Request{
		Pool: &table.Pool{
			Service:     "llm",
			Concurrency: 128,
		},
		MaxDelay: coldMaxDelay,
	})
	if err != nil {
		p.record("", &p.rejected)
		return
	}
	outcome := &p.served
	if choice.Delay > 0 {
		time.Sleep(choice.Delay)
		outcome = &p.waited
	}
	d.awake()
	if choice.Delay > 0 && !choice.BeginTurn() {
		p.record("", &p.rejected)
		return
	}
	time.Sleep(jitter)
	p.record(choice.Addr, outcome)
	choice.Done(Result{
		Latency: time.Millisecond,
	})
}

// record counts a request, and its arrival if it has an address and the upstreams are cold.
func (p *coldPlay) record(addr string, count *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*count++
	if addr != "" && time.Now().Before(p.end) {
		p.arrivals[addr] = append(p.arrivals[addr], time.Now())
	}
}

// viewOf returns what a daemon knows of the others.
func (p *coldPlay) viewOf(i int) coldstart.View {
	v := coldstart.View{
		Self:  strconv.Itoa(i),
		Known: p.count,
	}
	others := rand.New(rand.NewPCG(7, uint64(i)))
	for j := range p.count {
		if p.sees(i, j, others) {
			v.Living = append(v.Living, strconv.Itoa(j))
		}
	}
	switch p.view {
	case "strangers", "whole":
		v.Known = len(v.Living)
	case "stale":
		for j := range 20 {
			v.Living = append(v.Living, "gone"+strconv.Itoa(j))
		}
		v.Known += 20
	}
	return v
}

// sees reports whether a daemon takes another one for living.
func (p *coldPlay) sees(i, j int, random *rand.Rand) bool {
	half := p.count / 2
	switch p.view {
	case "halves", "strangers":
		return i < half == (j < half)
	case "thirds":
		return i%3 == j%3
	case "minority":
		return i%5 == 0 == (j%5 == 0)
	case "random":
		return i == j || random.IntN(2) == 0
	case "alone", "whole":
		return i == j
	}
	return true
}

// mostInASecond returns the largest number of requests that an upstream got in any second.
func (p *coldPlay) mostInASecond() int {
	most := 0
	for _, list := range p.arrivals {
		slices.SortFunc(list, time.Time.Compare)
		first := 0
		for i, at := range list {
			for at.Sub(list[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// used tells which part of their rate the cold upstreams got on average.
func (p *coldPlay) used() string {
	sum := 0
	for _, list := range p.arrivals {
		sum += len(list)
	}
	used := float64(sum) / (coldPerSecond * coldTime.Seconds() * float64(p.upstreams))
	switch {
	case used == 0:
		return "nothing"
	case used < 0.3:
		return "a little"
	case used < 0.6:
		return "a third or more"
	}
	return "most of the rate"
}
