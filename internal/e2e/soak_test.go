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
	soakTime    = 8 * time.Second // How long a run injects faults; SOAK_TIME overrides it.
	soakTick    = 10 * time.Millisecond
	soakCallers = 12
	// soakFaultInterval is the mean interval between two faults. soakMaxFaultTime bounds
	// the duration of each, except for a daemon that is slow to stop.
	soakFaultInterval = 150 * time.Millisecond
	soakMaxFaultTime  = 2 * time.Second
	// soakMaxRecovery bounds the time from the last fault until every daemon answers
	// requests. It is the users' recover-s.
	soakMaxRecovery = 15 * time.Second
	// soakDeadlineSlack bounds how long after its deadline a request may be answered.
	soakDeadlineSlack = time.Second
	// soakDefaultSeeds is the number of seeds run if SOAK_SEEDS=FIRST-LAST is not set.
	soakDefaultSeeds = 2
	// soakSeedsFile lists the seeds that once failed, one a line with the cause.
	soakSeedsFile = "testdata/soak_seeds"
)

// TestSoak injects overlapping random faults, drawn from a seed, into real processes
// under the load of callers: daemons are suspended, killed, stopped and restarted, links
// are cut, reset, delayed and stalled in one or both directions, upstreams and the log
// fail, and operators edit routes. The results of the callers are checked against the
// ledgers of the upstreams, and every daemon must serve again within soakMaxRecovery.
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
			s.checkDurations(t)
			require.NotZero(t, load.count.answered.Load(), "nothing was answered")
		})
	}
}

func soakSeeds(t *testing.T) []uint64 {
	t.Helper()
	var seeds []uint64
	first, last := uint64(1), uint64(soakDefaultSeeds)
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		require.NoError(t, err, "SOAK_SEEDS")
	} else {
		data, err := os.ReadFile(soakSeedsFile)
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

// soak is the run of one seed.
type soak struct {
	cluster   *cluster
	rand      *rand.Rand
	began     time.Time
	duration  time.Duration
	next      time.Time // When the next fault begins.
	faultEnds []faultEnd
	daemons   []*soakDaemon
	log       []string
}

// faultEnd is the scheduled end of a fault.
type faultEnd struct {
	at time.Time
	do func()
}

// soakDaemon is a daemon and the faults of its process.
type soakDaemon struct {
	*daemon

	// faultUntil is when the fault of the process ends, zero while there is none.
	faultUntil  time.Time
	suspended   bool
	stopping    bool
	suspensions []outage
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{
		cluster: startCluster(t, config{
			links:      true,
			commitArgs: []string{"-service-ms", "20"},
			grace:      2 * time.Second,
		}),
		rand:     rand.New(rand.NewPCG(seed, 1)),
		duration: soakTime,
	}
	if text := os.Getenv("SOAK_TIME"); text != "" {
		var err error
		s.duration, err = time.ParseDuration(text)
		require.NoError(t, err, "SOAK_TIME")
	}
	s.cluster.reuseConnections(t)
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

// play begins random faults for the duration of the run and ends those that expire.
func (s *soak) play(t *testing.T) {
	s.began = time.Now()
	for end := s.began.Add(s.duration); time.Now().Before(end); time.Sleep(soakTick) {
		for ; time.Now().After(s.next); s.next = s.next.Add(s.randomDuration(2 * soakFaultInterval)) {
			if s.next.IsZero() {
				s.next = s.began
			}
			s.injectFault(t)
		}
		s.endExpiredFaults(t, time.Now())
	}
}

// recover ends all faults and waits until every daemon serves.
func (s *soak) recover(t *testing.T) {
	t.Helper()
	began := time.Now()
	for _, d := range s.daemons {
		if !d.faultUntil.IsZero() {
			d.faultUntil = began
		}
	}
	for _, l := range s.faultEnds {
		l.do()
	}
	s.faultEnds = nil
	for i, d := range s.daemons {
		for last := (callResult{}); last.outcome != answered; {
			require.Less(t, time.Since(began), soakMaxRecovery, "daemon %d does not serve again: %s", i, last)
			s.endExpiredFaults(t, time.Now())
			if d.faultUntil.IsZero() {
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

func (s *soak) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(limit)))
}

func (s *soak) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%7.3f s ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// scheduleEnd ends a fault after a random time.
func (s *soak) scheduleEnd(do func()) {
	s.faultEnds = append(s.faultEnds, faultEnd{
		at: time.Now().Add(s.randomDuration(soakMaxFaultTime)),
		do: do,
	})
}

// endExpiredFaults ends the faults whose time is over.
func (s *soak) endExpiredFaults(t *testing.T, now time.Time) {
	var rest []faultEnd
	for _, l := range s.faultEnds {
		if now.Before(l.at) {
			rest = append(rest, l)
			continue
		}
		l.do()
	}
	s.faultEnds = rest
	for i, d := range s.daemons {
		if !d.faultUntil.IsZero() && !now.Before(d.faultUntil) {
			s.endDaemonFault(t, i, d)
		}
	}
}

func (s *soak) endDaemonFault(t *testing.T, i int, d *soakDaemon) {
	switch {
	case d.suspended:
		d.resume(t)
		d.suspended = false
		d.suspensions[len(d.suspensions)-1].to = time.Now()
		s.logf("daemon %d is resumed", i)
	case d.stopping && !d.ended():
		return
	default:
		if d.stopping {
			d.waitExit(t, soakTick)
		}
		d.stopping = false
		d.start(t)
		s.logf("daemon %d starts", i)
	}
	d.faultUntil = time.Time{}
}

// ended reports whether the process has exited.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// injectFault begins a random fault or edit.
func (s *soak) injectFault(t *testing.T) {
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
	kind, duration := s.rand.IntN(4), s.randomDuration(soakMaxFaultTime)
	d := s.daemons[i]
	if !d.faultUntil.IsZero() {
		return
	}
	d.faultUntil = time.Now().Add(duration)
	switch kind {
	case 0, 1:
		s.logf("daemon %d is suspended for %s", i, duration)
		d.suspended = true
		d.suspensions = append(d.suspensions, outage{
			from: time.Now(),
		})
		d.suspend(t)
	case 2:
		s.logf("daemon %d is killed for %s", i, duration)
		d.kill()
	case 3:
		s.logf("daemon %d stops", i)
		d.stopping = true
		d.signal(t, syscall.SIGTERM)
	}
}

func (s *soak) faultLink() {
	i := s.rand.IntN(len(s.cluster.links))
	troubles := []linkFault{
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
			delay: s.randomDuration(500 * time.Millisecond),
		},
	}
	fault := troubles[s.rand.IntN(len(troubles))]
	s.logf("link %d: %+v", i, fault)
	link := s.cluster.links[i]
	link.set(fault)
	s.scheduleEnd(func() { link.set(linkFault{}) })
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
	s.logf("%s %d: fault %d", kind, i, n)
	u := s.cluster.upstreams[kind][i]
	u.setFaults(t, faults[n])
	s.scheduleEnd(func() { u.setFaults(t, standinapi.Faults{}) })
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
	s.logf("log: fault %d", n)
	s.cluster.log.setFaults(t, faults[n])
	s.scheduleEnd(func() { s.cluster.log.setFaults(t, standinapi.Faults{}) })
}

// edit sends an edit of a route and does not wait for its outcome.
func (s *soak) edit(t *testing.T) {
	i := s.rand.IntN(len(s.daemons))
	s.logf("an edit at daemon %d", i)
	go func() {
		c := *s.cluster.withLogAddr(s.cluster.log.addr)
		c.daemons = s.cluster.daemons[i : i+1]
		// Under faults an edit may be rejected or its response lost.
		_ = c.setRoute(t.Context(), orderRoute)
	}()
}

// checkDurations checks that each call ended within soakDeadlineSlack of the route's
// deadline, plus the time for which its daemon was suspended.
func (s *soak) checkDurations(t *testing.T) {
	t.Helper()
	for _, r := range s.cluster.history.all() {
		bound := routeDeadline + soakDeadlineSlack
		for _, f := range s.daemons[r.daemon].suspensions {
			if f.from.Before(r.received) && f.to.After(r.sent) {
				bound += f.to.Sub(f.from)
			}
		}
		if took := r.received.Sub(r.sent); took > bound {
			t.Errorf("a call took %s, want at most %s: %s", took, bound, r)
		}
	}
}
