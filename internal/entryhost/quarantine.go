package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/panics"
	"sequoiafork/internal/quarantine"
	"sequoiafork/internal/tcp"
)

const (
	// probeTimeout bounds one probe of an upstream whose connection broke.
	probeTimeout = 200 * time.Millisecond
	// evidenceWait is how long a failed attempt waits for the probe, so that its retry knows whether the upstream
	// ended.
	evidenceWait = 10 * time.Millisecond
)

// probeDelays are the times before the probes of an upstream whose connection broke. A process that ends may
// accept connections for a moment after others broke.
var probeDelays = []time.Duration{
	0,
	20 * time.Millisecond,
	100 * time.Millisecond,
}

// upstreamEndsTotal counts the ends of upstreams that this daemon has observed.
var upstreamEndsTotal = metrics.GetOrCreateCounter("sequoiafork_upstream_ends_total")

// sharedQuarantine finds out whether an upstream has ended when a connection to it breaks, and tells the peers which
// attempts it had. It implements forward.Quarantine.
type sharedQuarantine struct {
	*quarantine.Registry
	daemon *Daemon

	mu sync.Mutex
	// probed are the upstreams that are probed, by incarnation.
	probed map[string]*probedUpstream
}

// probedUpstream is an upstream to which connections broke and that is probed.
type probedUpstream struct {
	addr     string
	at       time.Time
	attempts []quarantine.Attempt
	// done is closed after the last probe.
	done chan struct{}
}

func newSharedQuarantine(d *Daemon) *sharedQuarantine {
	q := &sharedQuarantine{
		daemon: d,
		probed: make(map[string]*probedUpstream),
	}
	q.Registry = quarantine.New(quarantine.Config{
		MayTry: q.mayTry,
		Logger: d.logger,
	})
	return q
}

// Admit implements forward.Quarantine. It waits for a decision that is due.
func (q *sharedQuarantine) Admit(req quarantine.Request) error {
	var held error
	q.contain(func() {
		time.Sleep(q.DecisionIn(req))
		held = q.Registry.Admit(req)
	})
	return held
}

// Succeeded implements forward.Quarantine.
func (q *sharedQuarantine) Succeeded(req quarantine.Request) {
	q.contain(func() { q.daemon.members.ReportEvidence(q.Registry.Succeeded(req)) })
}

// contain calls f, which handles evidence. A panic loses what f was to record or decide, and no other request: all
// daemons have the same evidence, so that it would end all of them.
func (q *sharedQuarantine) contain(f func()) {
	_ = panics.Call(q.daemon.logger, "quarantine", func() error { f(); return nil }) // The panic has been logged.
}

// Broke implements forward.Quarantine, for attempts at one upstream. It returns when it is known whether the upstream
// has ended, or after evidenceWait.
func (q *sharedQuarantine) Broke(list ...forward.BrokenAttempt) {
	var done <-chan struct{}
	for _, b := range list {
		done = q.probe(b)
	}
	timeout := time.NewTimer(evidenceWait)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	}
}

// probe adds an attempt to the upstream that is probed, and begins to probe it if it is the first.
func (q *sharedQuarantine) probe(b forward.BrokenAttempt) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.probed[b.Incarnation]
	if !ok {
		p = &probedUpstream{
			addr: b.Addr,
			at:   time.Now(),
			done: make(chan struct{}),
		}
		q.probed[b.Incarnation] = p
		go q.findOut(b.Incarnation, p)
	}
	p.attempts = append(p.attempts, quarantine.AttemptsOf(b.Request, b.Began)...)
	return p.done
}

// findOut probes an upstream, and records and announces its end if it has ended.
func (q *sharedQuarantine) findOut(incarnation string, p *probedUpstream) {
	defer close(p.done)
	ended := hasEnded(p.addr)
	q.mu.Lock()
	delete(q.probed, incarnation)
	attempts := p.attempts
	q.mu.Unlock()
	q.daemon.logger.Info("connections to an upstream broke", zap.String("upstream", incarnation), zap.Bool("ended", ended), zap.Int("keys", len(attempts)))
	if !ended {
		return
	}
	upstreamEndsTotal.Inc()
	q.contain(func() {
		q.daemon.members.ReportEvidence(q.Ended(quarantine.End{
			Incarnation: incarnation,
			At:          p.at,
			Attempts:    attempts,
		}))
	})
}

// hasEnded reports whether no process listens at an address any more. A host that does not respond is no sign of it.
func hasEnded(addr string) bool {
	for _, delay := range probeDelays {
		time.Sleep(delay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		refused := tcp.Refused(ctx, addr)
		cancel()
		if refused {
			return true
		}
	}
	return false
}

// mayTry reports whether this daemon sends the trial request of a key in a turn: it ranks highest among the living
// (rendezvous hashing).
func (q *sharedQuarantine) mayTry(key uint64, turn int) bool {
	self := q.daemon.members.Self().Incarnation
	own := trialRank(self, key, turn)
	for _, name := range q.daemon.daemonNames() {
		if name != self && trialRank(name, key, turn) > own {
			return false
		}
	}
	return true
}

func trialRank(daemon string, key uint64, turn int) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	h := (xxhash.Sum64String(daemon) ^ key) + uint64(turn)*multiplier
	h ^= h >> 32
	return h * multiplier
}
