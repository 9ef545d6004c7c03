// Package hedge decides when a second attempt at a request is worth the work that it costs upstreams, and keeps this
// work within a share of the work of the pool.
//
// The load that it answers is a pool with spare capacity in which a few answers take several times as long as usual,
// because some upstreams are slow or because any upstream is slow now and then. Such answers determine the high
// quantiles of what callers see.
//
// A request is compared with what is usual for its kind. The expected time follows from the size of the prompt, the
// pace that the upstream reports and the queue there. The ratio of measured to expected time has a distribution,
// from which follow, for a request that has taken a certain time already, the expected time that a second attempt
// saves and the expected time for which both attempts run. A second attempt is made once the first exceeds the second.
//
// Extra work is the time in seconds that the losing attempt has taken at its upstream. Completed requests earn a share
// of their own time, and a second attempt reserves from what has been earned. Each daemon stays within the share of
// its own work, so that all of them together do, without messages between them.
//
// The package does no I/O. All types are safe for concurrent use.
//
//	d := hedge.New(hedge.Config{ExtraWork: 0.02})
//	a := d.Begin(hedge.Request{Pool: "engines", Kind: "chat", Tokens: 800}, hedge.Load{})
//	// after a.CheckAfter() without a response:
//	if v, ok := a.Decide(elapsed, pool).(hedge.Hedge); ok {
//		// make the second attempt, then
//		v.Reservation.Settle(timeOfTheLoser)
//	}
//	a.Ended(took)
//	a.Worked(total)
package hedge

import (
	"cmp"
	"sync"
	"time"
)

const (
	defaultWindow          = 2 * time.Minute
	defaultSavingTime      = 5 * time.Minute
	defaultMinObservations = 100
)

// Config configures a Decider. Zero fields other than ExtraWork mean the defaults.
type Config struct {
	// ExtraWork is the limit of extra work as a share of the work of a pool, from 0 to 1. At zero, nothing is hedged.
	ExtraWork float64
	// Window is how long measured times count. Zero means 2 minutes.
	Window time.Duration
	// SavingTime is the time constant with which unused extra work is forgotten, so that a burst of hedges stays
	// within the share of the work of about this time. Zero means 5 minutes.
	SavingTime time.Duration
	// MinObservations is the number of measured times of a kind of request below which it is not hedged. Zero means 100.
	MinObservations int
}

func (c Config) withDefaults() Config {
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.SavingTime = cmp.Or(c.SavingTime, defaultSavingTime)
	c.MinObservations = cmp.Or(c.MinObservations, defaultMinObservations)
	return c
}

// Decider decides about the hedges of one daemon. Its state grows with the pools and the kinds of requests, which are
// those of the configuration of routes.
type Decider struct {
	cfg   Config
	kinds sync.Map // kindName to *kind
	pools sync.Map // name of the pool to *workBudget
}

// New returns a Decider without observations.
func New(cfg Config) *Decider {
	return &Decider{
		cfg: cfg.withDefaults(),
	}
}

// Enabled reports whether anything may be hedged. A nil Decider hedges nothing.
func (d *Decider) Enabled() bool { return d != nil && d.cfg.ExtraWork > 0 }

// Request is what a Decider needs to know of a request.
type Request struct {
	// Pool names the upstreams that share a limit of extra work.
	Pool string
	// Kind names the requests of the pool whose times are comparable, such as those of one route.
	Kind string
	// Tokens is the size of the prompt, zero without one.
	Tokens int
}

// Load is what is known of the upstream of an attempt.
type Load struct {
	// Pace is how long work takes there now, as a multiple of the usual time. Zero means unknown.
	Pace float64
	// Queued is the number of requests that wait there, and Slots the number that run at once.
	Queued int
	Slots  int
}

type kindName struct{ pool, kind string }

// kind returns the state of a kind of request.
func (d *Decider) kind(r Request) *kind {
	name := kindName{
		pool: r.Pool,
		kind: r.Kind,
	}
	if k, ok := d.kinds.Load(name); ok {
		return k.(*kind)
	}
	k, _ := d.kinds.LoadOrStore(name, newKind(d.cfg, d.budget(r.Pool)))
	return k.(*kind)
}

// budget returns the extra work of a pool.
func (d *Decider) budget(pool string) *workBudget {
	if b, ok := d.pools.Load(pool); ok {
		return b.(*workBudget)
	}
	b, _ := d.pools.LoadOrStore(pool, newWorkBudget(d.cfg))
	return b.(*workBudget)
}

// Begin returns the state of the first attempt at a request, which starts now.
func (d *Decider) Begin(r Request, l Load) Attempt {
	if !d.Enabled() {
		return Attempt{}
	}
	k := d.kind(r)
	base, known := k.expected(r.Tokens)
	if !known {
		base = 0
	}
	return Attempt{
		kind:   k,
		tokens: float64(r.Tokens),
		base:   base,
		factor: l.factor(),
	}
}
