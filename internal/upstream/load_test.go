package upstream_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/era"
	"sequoiafork/internal/hostset"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

const (
	networkTime = 2 * time.Millisecond
	// rejectionTime is how long an upstream takes to reject a request.
	rejectionTime = 5 * time.Millisecond
	// refusedAtOnceTime is the time within which a refusal counts as at once.
	refusedAtOnceTime = 100 * time.Millisecond
	// patienceFactor is how many times its objective a caller waits.
	patienceFactor = 4
	// rumorTime is how long the other daemons take to learn what one has seen.
	rumorTime = 100 * time.Millisecond
	// maxAttempts is the number of attempts of a request of which none has run.
	maxAttempts = 2
	playLength  = 40 * time.Second
)

// load is a load of callers on daemons before upstreams, during an incident.
type load struct {
	daemonCount, upstreamCount, slots, rate int
	// work is how long an attempt runs, and objective the time within which it is to be answered.
	work, objective time.Duration
	// affected is the number of upstreams of the incident.
	affected int
	// informed reports that the daemons make use of what the incident tells them.
	informed bool

	began     time.Time
	store     *store
	daemons   []*daemon
	processes []*process

	mu       sync.Mutex
	arrivals []arrival
	refusals []refusal
	callers  callerCounts
	wasted   time.Duration // time of upstreams on attempts that no caller got an answer from
}

// callerCounts counts the callers by what they got.
type callerCounts struct {
	inTime, late, refusedAtOnce, refusedLate int
}

func (c callerCounts) all() int { return c.inTime + c.late + c.refusedAtOnce + c.refusedLate }

func (c callerCounts) refused() int { return c.refusedAtOnce + c.refusedLate }

// arrival is a request that reached an upstream.
type arrival struct {
	daemon  int
	addr    string
	sentAt  time.Time
	at      time.Time
	doneAt  time.Time
	outcome attemptOutcome
	// saidLeaving reports that the response said that the upstream leaves.
	saidLeaving bool
}

// refusal is a response to a caller whose request was not run.
type refusal struct {
	at         time.Time
	retryAfter time.Duration
}

type attemptOutcome int

const (
	answered attemptOutcome = iota
	rejected
	unreachable
	cut
	abandoned
)

func (o attemptOutcome) result(took time.Duration) upstream.Result {
	r := upstream.Result{
		Latency: took,
	}
	switch o {
	case answered:
		r.Outcome = upstream.OK
	case rejected:
		r.Outcome = upstream.Overloaded
	case unreachable:
		r.Outcome = upstream.ConnectFailed
	case cut:
		r.Outcome = upstream.Failed
	case abandoned:
		r.Outcome = upstream.Cancelled
	}
	return r
}

// daemon is one daemon, as far as it chooses upstreams.
type daemon struct {
	set   *upstream.Set
	hosts *hostset.Set

	mu      sync.Mutex
	leaving map[string]bool
}

// apply gives the set of upstreams the hosts that are known, as the daemon of an entry host does.
func (d *daemon) apply() {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := d.hosts.Hosts()
	for i, h := range hosts {
		if d.leaving[h.Incarnation] {
			hosts[i].State = upstream.Leaving
		}
	}
	d.set.Replace(hosts)
}

func (d *daemon) markLeaving(incarnation string) {
	d.mu.Lock()
	d.leaving[incarnation] = true
	d.mu.Unlock()
	d.apply()
}

func (l *load) scan(t *testing.T, d *datadriven.TestData) {
	l.slots = 128
	l.work = 300 * time.Millisecond
	l.objective = time.Second
	d.ScanArgs(t, "daemons", &l.daemonCount)
	d.ScanArgs(t, "upstreams", &l.upstreamCount)
	d.ScanArgs(t, "affected", &l.affected)
	d.ScanArgs(t, "rate", &l.rate)
	d.MaybeScanArgs(t, "slots", &l.slots)
	l.work = scanDuration(t, d, "work", l.work)
	l.objective = scanDuration(t, d, "objective", l.objective)
}

func scanDuration(t *testing.T, d *datadriven.TestData, name string, missing time.Duration) time.Duration {
	text := missing.String()
	d.MaybeScanArgs(t, name, &text)
	length, err := time.ParseDuration(text)
	require.NoError(t, err)
	return length
}

// play plays the load while an incident takes its course.
func (l *load) play(t *testing.T, incident func(*load)) {
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(5, 6))
		l.start()
		go incident(l)
		for time.Since(l.began) < playLength {
			time.Sleep(time.Duration(random.ExpFloat64() / float64(l.rate) * float64(time.Second)))
			go l.request(random.IntN(l.daemonCount))
		}
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

func (l *load) start() {
	l.began = time.Now()
	l.store = &store{
		load: l,
	}
	for i := range l.upstreamCount {
		l.processes = append(l.processes, &process{
			addr:  fmt.Sprintf("192.0.2.1:%d", i+1),
			slots: make(chan struct{}, l.slots),
			gone:  make(chan struct{}),
		})
	}
	for i := range l.daemonCount {
		l.daemons = append(l.daemons, l.startDaemon(i))
	}
	for _, p := range l.processes {
		l.store.write(p, upstream.Live)
	}
	l.applyAll()
}

// applyAll makes all daemons use what they have read from the store.
func (l *load) applyAll() {
	for _, d := range l.daemons {
		d.apply()
	}
}

func (l *load) startDaemon(i int) *daemon {
	d := &daemon{
		hosts:   hostset.New(hostset.Config{}),
		leaving: make(map[string]bool),
	}
	cfg := upstream.Config{
		Seed: uint64(i),
		Self: strconv.Itoa(i),
	}
	if l.informed {
		cfg.OnLeaving = func(h upstream.Host) { l.spreadLeaving(d, h.Incarnation) }
	}
	d.set = upstream.New(cfg)
	return d
}

// spreadLeaving tells a daemon at once, and the others a little later, that an upstream leaves.
func (l *load) spreadLeaving(first *daemon, incarnation string) {
	first.markLeaving(incarnation)
	go func() {
		time.Sleep(rumorTime)
		for _, d := range l.daemons {
			d.markLeaving(incarnation)
		}
	}()
}

// affectedProcesses returns the upstreams of the incident.
func (l *load) affectedProcesses() []*process { return l.processes[:l.affected] }

// request plays one request at a daemon. It is tried again if it has not run.
func (l *load) request(number int) {
	began := time.Now()
	left := time.After(patienceFactor * l.objective)
	var tried []string
	for range maxAttempts {
		choice, err := l.daemons[number].set.Pick(upstream.Request{
			Pool: &table.Pool{
				Service:     "llm",
				Concurrency: l.slots,
			},
			Exclude: tried,
		})
		if err != nil {
			l.refuse(began, err)
			return
		}
		tried = append(tried, choice.Addr)
		switch l.attempt(number, choice, left) {
		case answered:
			l.answer(began)
			return
		case cut, abandoned:
			l.fail(began)
			return
		case rejected, unreachable:
		}
	}
	l.fail(began)
}

// attempt plays an attempt at an upstream.
func (l *load) attempt(number int, choice upstream.Choice, left <-chan time.Time) attemptOutcome {
	p := l.processAt(choice.Addr)
	a := arrival{
		daemon: number,
		addr:   choice.Addr,
		sentAt: time.Now(),
	}
	time.Sleep(networkTime)
	a.at = time.Now()
	var ran time.Duration
	if p.notice().Pause > 0 && !p.isGone() {
		time.Sleep(rejectionTime)
		a.outcome, ran = rejected, rejectionTime
	} else {
		a.outcome, ran = p.run(l.work, left)
	}
	a.doneAt = time.Now()
	if a.outcome == answered || a.outcome == rejected {
		a.saidLeaving = p.notice().Leaving
		l.observe(choice, p)
	}
	l.record(a, ran)
	r := a.outcome.result(time.Since(a.sentAt))
	if a.outcome == answered {
		r.Load = &upstream.Load{
			InFlight: len(p.slots) + 1,
			Capacity: l.slots,
		}
	}
	choice.Done(r)
	return a.outcome
}

// observe passes on what an upstream says of itself.
func (l *load) observe(choice upstream.Choice, p *process) {
	if l.informed {
		choice.Observe(p.notice())
	}
}

func (l *load) processAt(addr string) *process {
	for _, p := range l.processes {
		if p.addr == addr {
			return p
		}
	}
	return nil
}

// record records what an attempt cost.
func (l *load) record(a arrival, ran time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.outcome != answered {
		l.wasted += ran
	}
	if a.outcome != unreachable {
		l.arrivals = append(l.arrivals, a)
	}
}

func (l *load) answer(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(began) <= l.objective {
		l.callers.inTime++
		return
	}
	l.callers.late++
}

// fail records a caller that gets an error.
func (l *load) fail(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(began) <= refusedAtOnceTime {
		l.callers.refusedAtOnce++
		return
	}
	l.callers.refusedLate++
}

// refuse records a caller for whom there is no upstream.
func (l *load) refuse(began time.Time, err error) {
	l.fail(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	r := refusal{
		at: time.Now(),
	}
	var none *upstream.NoUpstreamError
	if errors.As(err, &none) {
		r.retryAfter = none.RetryAfter
	}
	l.refusals = append(l.refusals, r)
}

// compare describes what callers got, beside a load on daemons that are not informed.
func (l *load) compare(before *load) string {
	var out strings.Builder
	line := func(name string, count func(callerCounts) int) {
		fmt.Fprintf(&out, "%s: %s, before %s\n", name, share(count(l.callers), l.callers.all()), share(count(before.callers), before.callers.all()))
	}
	line("answered in time", func(c callerCounts) int { return c.inTime })
	line("answered late", func(c callerCounts) int { return c.late })
	line("refused at once", func(c callerCounts) int { return c.refusedAtOnce })
	line("refused late or cut", func(c callerCounts) int { return c.refusedLate })
	fmt.Fprintf(&out, "upstream seconds thrown away: %.1f, before %.1f\n", l.wasted.Seconds(), before.wasted.Seconds())
	return out.String()
}

// share describes a part of all in percent.
func share(part, all int) string {
	const percent = 100
	return strconv.FormatFloat(percent*float64(part)/float64(all), 'f', 1, 64) + "%"
}

// store lists the upstreams. The daemons read each record at once.
type store struct {
	load    *load
	era     int64
	records []record
}

// record is the entry of an upstream, or its removal.
type record struct {
	process *process
	removed bool
	state   upstream.State
}

func (s *store) end() era.Position {
	return era.Position{
		Era:    s.era,
		Offset: int64(len(s.records)),
	}
}

func (s *store) write(p *process, st upstream.State) {
	at := s.end()
	s.records = append(s.records, record{
		process: p,
		state:   st,
	})
	for _, d := range s.load.daemons {
		d.hosts.Put(p.addr, p.entry(st), at)
	}
}

func (s *store) remove(p *process) {
	at := s.end()
	s.records = append(s.records, record{
		process: p,
		removed: true,
	})
	for _, d := range s.load.daemons {
		d.hosts.Remove(p.addr, at)
	}
}

// list returns the entries.
func (s *store) list() []hostset.Listed {
	newest := make(map[*process]int)
	for i, r := range s.records {
		newest[r.process] = i
	}
	var list []hostset.Listed
	for i, r := range s.records {
		if newest[r.process] != i || r.removed {
			continue
		}
		list = append(list, hostset.Listed{
			Name:  r.process.addr,
			Entry: r.process.entry(r.state),
			At: era.Position{
				Era:    s.era,
				Offset: int64(i),
			},
		})
	}
	return list
}
