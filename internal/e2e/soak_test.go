package e2e

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/wire/standinapi"
)

const (
	soakTime    = 8 * time.Second // Of faults in a run; SOAK_TIME sets another.
	soakTick    = 10 * time.Millisecond
	soakCallers = 12
	// soakEvery is the mean time between two faults and soakLasts the longest of most.
	soakEvery = 150 * time.Millisecond
	soakLasts = 2 * time.Second
	// soakRecovers bounds the time after the last fault until every daemon answers: the
	// users' recover-s.
	soakRecovers = 15 * time.Second
	// soakLate bounds what an answer may come after its request's deadline.
	soakLate = time.Second
	// soakRuns is the number of seeds played without SOAK_SEEDS=FIRST-LAST.
	soakRuns = 2
	// soakFailed are the seeds that once failed, one a line with the cause.
	soakFailed = "testdata/soak_seeds"
)

// TestSoak plays faults drawn from a seed against real processes, one over the
// other, while callers go on: daemons are frozen, killed, stopped and started
// again, links are cut, reset, delayed and held up one way or both, upstreams and
// the log misbehave, and operators edit. What callers and upstreams saw is judged,
// and every daemon must serve again soon after.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoak(t, seed)
			load := s.cluster.startCallers(t, soakCallers, seed)
			s.play(t)
			s.recover(t)
			load.stop()
			load.wg.Wait()
			s.cluster.check(t)
			s.judgeTimes(t)
			require.NotZero(t, load.count.answered.Load(), "nothing was answered")
		})
	}
}

func soakSeeds(t *testing.T) []uint64 {
	t.Helper()
	var seeds []uint64
	first, last := uint64(1), uint64(soakRuns)
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		require.NoError(t, err, "SOAK_SEEDS")
	} else {
		data, err := os.ReadFile(soakFailed)
		require.NoError(t, err)
		for line := range strings.Lines(string(data)) {
			var seed uint64
			if _, err := fmt.Sscanf(line, "%d", &seed); err == nil {
				seeds = append(seeds, seed)
			}
		}
	}
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// soak is one run.
type soak struct {
	cluster *cluster
	rand    *rand.Rand
	began   time.Time
	lasts   time.Duration
	next    time.Time // Of the next fault.
	lifts   []lift
	daemons []*soakDaemon
	log     []string
}

// lift ends a fault.
type lift struct {
	at time.Time
	do func()
}

// soakDaemon is a daemon and what is being done to it.
type soakDaemon struct {
	*daemon

	// until is when a fault of the process ends, zero while there is none.
	until    time.Time
	frozen   bool
	stopping bool
	freezes  []outage
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{
		cluster: startCluster(t, config{
			links:      true,
			commitArgs: []string{"-service-ms", "20"},
			grace:      2 * time.Second,
		}),
		rand:  rand.New(rand.NewPCG(seed, 1)),
		lasts: soakTime,
	}
	if text := os.Getenv("SOAK_TIME"); text != "" {
		var err error
		s.lasts, err = time.ParseDuration(text)
		require.NoError(t, err, "SOAK_TIME")
	}
	s.cluster.keepConnections(t)
	for _, d := range s.cluster.daemons {
		s.daemons = append(s.daemons, &soakDaemon{
			daemon: d,
		})
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("faults of seed %d:\n%s", seed, strings.Join(s.log, "\n"))
		}
	})
	return s
}

// play makes faults and ends them when their time is over.
func (s *soak) play(t *testing.T) {
	s.began = time.Now()
	for end := s.began.Add(s.lasts); time.Now().Before(end); time.Sleep(soakTick) {
		for ; time.Now().After(s.next); s.next = s.next.Add(s.draw(2 * soakEvery)) {
			if s.next.IsZero() {
				s.next = s.began
			}
			s.fault(t)
		}
		s.lift(t, time.Now())
	}
}

// recover ends all faults and waits until every daemon serves.
func (s *soak) recover(t *testing.T) {
	t.Helper()
	began := time.Now()
	for _, d := range s.daemons {
		if !d.until.IsZero() {
			d.until = began
		}
	}
	for _, l := range s.lifts {
		l.do()
	}
	s.lifts = nil
	for i, d := range s.daemons {
		for last := (reply{}); last.outcome != answered; {
			require.Less(t, time.Since(began), soakRecovers, "daemon %d does not serve again: %s", i, last)
			s.lift(t, time.Now())
			if d.until.IsZero() {
				last = s.cluster.do(t.Context(), call{
					daemon: i,
					route:  encodeRoute,
					input:  "recovered",
				})
			}
			time.Sleep(soakTick)
		}
	}
}

func (s *soak) draw(most time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(most)))
}

func (s *soak) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%7.3f s ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// later ends a fault after a drawn time.
func (s *soak) later(do func()) {
	s.lifts = append(s.lifts, lift{
		at: time.Now().Add(s.draw(soakLasts)),
		do: do,
	})
}

// lift ends the faults whose time is over.
func (s *soak) lift(t *testing.T, now time.Time) {
	var rest []lift
	for _, l := range s.lifts {
		if now.Before(l.at) {
			rest = append(rest, l)
			continue
		}
		l.do()
	}
	s.lifts = rest
	for i, d := range s.daemons {
		if !d.until.IsZero() && !now.Before(d.until) {
			s.liftDaemon(t, i, d)
		}
	}
}

func (s *soak) liftDaemon(t *testing.T, i int, d *soakDaemon) {
	switch {
	case d.frozen:
		d.thaw(t)
		d.frozen = false
		d.freezes[len(d.freezes)-1].to = time.Now()
		s.note("daemon %d goes on", i)
	case d.stopping && !d.ended():
		return
	default:
		if d.stopping {
			d.waitExit(t, soakTick)
		}
		d.stopping = false
		d.start(t)
		s.note("daemon %d starts", i)
	}
	d.until = time.Time{}
}

// ended reports whether the process has ended by itself.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// fault begins a drawn fault.
func (s *soak) fault(t *testing.T) {
	switch s.rand.IntN(8) {
	case 0, 1:
		s.faultDaemon(t)
	case 2, 3, 4:
		s.faultLink()
	case 5:
		s.faultUpstream(t)
	case 6:
		s.faultLog(t)
	case 7:
		s.edit(t)
	}
}

func (s *soak) faultDaemon(t *testing.T) {
	i := s.rand.IntN(len(s.daemons))
	kind, lasts := s.rand.IntN(4), s.draw(soakLasts)
	d := s.daemons[i]
	if !d.until.IsZero() {
		return
	}
	d.until = time.Now().Add(lasts)
	switch kind {
	case 0, 1:
		s.note("daemon %d is frozen for %s", i, lasts)
		d.frozen = true
		d.freezes = append(d.freezes, outage{
			from: time.Now(),
		})
		d.freeze(t)
	case 2:
		s.note("daemon %d is killed for %s", i, lasts)
		d.kill()
	case 3:
		s.note("daemon %d stops", i)
		d.stopping = true
		d.signal(t, syscall.SIGTERM)
	}
}

func (s *soak) faultLink() {
	i := s.rand.IntN(len(s.cluster.links))
	troubles := []trouble{
		{
			cut: true,
		},
		{
			cut:   true,
			reset: true,
		},
		{
			stallUp: true,
		},
		{
			stallDown: true,
		},
		{
			stallUp:   true,
			stallDown: true,
		},
		{
			delay: s.draw(500 * time.Millisecond),
		},
	}
	tr := troubles[s.rand.IntN(len(troubles))]
	s.note("link %d: %+v", i, tr)
	link := s.cluster.links[i]
	link.set(tr)
	s.later(func() { link.set(trouble{}) })
}

func (s *soak) faultUpstream(t *testing.T) {
	kinds := []string{"encoder", "retriever", "reranker", oracle.EngineKind, "service"}
	kind := kinds[s.rand.IntN(len(kinds))]
	i := s.rand.IntN(len(s.cluster.upstreams[kind]))
	faults := []standinapi.Faults{
		{
			Down: standinapi.NewOptBool(true),
		},
		{
			Leaving: standinapi.NewOptBool(true),
		},
		{
			LoseReplies: standinapi.NewOptInt(2),
		},
		{
			SlowFactor: standinapi.NewOptFloat64(20),
		},
		{
			CutAfterBytes: standinapi.NewOptInt(30),
		},
		{
			WrongAttemptIds: standinapi.NewOptInt(2),
		},
		{
			DuplicateAnswers: standinapi.NewOptInt(2),
		},
	}
	n := s.rand.IntN(len(faults))
	s.note("%s %d: fault %d", kind, i, n)
	u := s.cluster.upstreams[kind][i]
	u.setFaults(t, faults[n])
	s.later(func() { u.setFaults(t, standinapi.Faults{}) })
}

func (s *soak) faultLog(t *testing.T) {
	faults := []standinapi.Faults{
		{
			Down: standinapi.NewOptBool(true),
		},
		{
			LoseReplies: standinapi.NewOptInt(3),
		},
		{
			DelayMs: standinapi.NewOptInt64(300),
		},
	}
	n := s.rand.IntN(len(faults))
	s.note("log: fault %d", n)
	s.cluster.log.setFaults(t, faults[n])
	s.later(func() { s.cluster.log.setFaults(t, standinapi.Faults{}) })
}

// edit sends an edit of a route and does not wait for what becomes of it.
func (s *soak) edit(t *testing.T) {
	i := s.rand.IntN(len(s.daemons))
	s.note("an edit at daemon %d", i)
	go func() {
		c := *s.cluster.logBehind(s.cluster.log.addr)
		c.daemons = s.cluster.daemons[i : i+1]
		// Under faults an edit may be refused or its answer lost.
		_ = c.setRoute(t.Context(), orderRoute)
	}()
}

// judgeTimes checks that each call ended in time, but for those at a daemon that
// was frozen meanwhile.
func (s *soak) judgeTimes(t *testing.T) {
	t.Helper()
	for _, r := range s.cluster.history.all() {
		bound := routeDeadline + soakLate
		for _, f := range s.daemons[r.daemon].freezes {
			if f.from.Before(r.received) && f.to.After(r.sent) {
				bound += f.to.Sub(f.from)
			}
		}
		if took := r.received.Sub(r.sent); took > bound {
			t.Errorf("a call took %s, want at most %s: %s", took, bound, r)
		}
	}
}
