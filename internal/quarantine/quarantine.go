// Package quarantine decides which requests are kept from upstreams because they end the upstreams that run them.
//
// A request has keys, which identify what it shares with others: the parts of its prompt, and its content, which it
// shares with the same request that comes again. When an upstream ends, the keys of the attempts that may have ended
// it are evidence. A key is held, so that no request with it reaches an upstream, after three ends, one after the
// other, without a success in between. It takes five if requests with the key have succeeded before, or if other
// keys explain the same ends; the content of a request doesn't wait for that, since no other request has it.
//
// The load that this answers is requests that share a part on which every upstream of a service ends, and a request on
// which every one ends that is sent again and again, at any daemon, beside sound requests that share the rest.
//
// What else ends upstreams doesn't hold a key: upstreams that end together, as by the loss of a data centre, count as
// one, and whatever other requests share succeeds in between. An end that one key explains is no evidence against the
// others.
//
// A hold ends when a request with the key succeeds. After a time, which grows with each failure, one daemon sends one
// request as a trial.
//
// All daemons share what they observe, and decide alike. The package does no I/O.
//
//	r := quarantine.New(quarantine.Config{})
//	report(r.Ended(end))
//	err := r.Admit(req)
package quarantine

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// minEnds is the number of ends, one after the other, after which a key is held.
	minEnds = 3
	// certainEnds is the number of ends from which on a key is held even if requests with it have succeeded before, or if
	// others explain the same ends.
	certainEnds = 5
	// minSeparation is the time between two ends from which on they count as two, unless the same request was at both.
	// Upstreams that are lost at one moment end within less. For a key with which requests have succeeded before it
	// is longSeparation, since some are lost in turn.
	minSeparation  = 10 * time.Millisecond
	longSeparation = 100 * time.Millisecond
	// decisionDelay is the time after new evidence of an end until it counts. The other daemons that had attempts there
	// tell of them meanwhile.
	decisionDelay = 100 * time.Millisecond
	// SettleTime is how long a response goes on after its start until its request counts as a success.
	SettleTime = time.Second
	// firstHold is the length of the first hold of a key. Each further one is holdGrowth times as long, up to maxHold.
	firstHold  = 15 * time.Second
	holdGrowth = 16
	maxHold    = 7 * 24 * time.Hour
	// trialTimeout is the time after which a trial without a result no longer counts.
	trialTimeout = 30 * time.Second
	// trialTurn is for how long one daemon may send the trial request of a key before it is another one's turn.
	trialTurn = 30 * time.Second
	// trialRetryAfter is the Retry-After delay of requests while a trial is due.
	trialRetryAfter = 2 * time.Second
)

// Defaults of Config.
const (
	DefaultEvidenceTTL = 24 * time.Hour
	DefaultMaxEnds     = 256
	DefaultMaxAttempts = 256
	DefaultMaxHolds    = 1024
)

// Config configures a Registry. Zero fields mean the defaults.
type Config struct {
	// EvidenceTTL is how long the end of an upstream is evidence.
	EvidenceTTL time.Duration
	// MaxEnds bounds the ends that are kept; the oldest is dropped. MaxAttempts bounds the keys of one end;
	// further ones are ignored.
	MaxEnds     int
	MaxAttempts int
	// MaxHolds bounds the keys that are held; the one that was refused longest ago is dropped.
	MaxHolds int
	// MayTry reports whether this daemon is the one to send the trial request of a key in a turn. Turns count
	// from 0. Nil means that it is.
	MayTry func(key uint64, turn int) bool
	Logger *zap.Logger
}

// Registry keeps the evidence and the held keys. It is safe for concurrent use.
type Registry struct {
	cfg Config
	// active reports that there are suspects or holds.
	active    atomic.Bool
	succeeded succeededKeys

	mu sync.Mutex
	// ends are the ends by incarnation, and oldest their order.
	ends     map[string]*knownEnd
	oldest   []string
	suspects map[uint64]*suspect
	holds    map[uint64]*hold
	// undecided are the ends with evidence that does not count yet, in the order of their times.
	undecided []*knownEnd
}

// New returns a Registry.
func New(cfg Config) *Registry {
	cfg.EvidenceTTL = cmp.Or(cfg.EvidenceTTL, DefaultEvidenceTTL)
	cfg.MaxEnds = cmp.Or(cfg.MaxEnds, DefaultMaxEnds)
	cfg.MaxAttempts = cmp.Or(cfg.MaxAttempts, DefaultMaxAttempts)
	cfg.MaxHolds = cmp.Or(cfg.MaxHolds, DefaultMaxHolds)
	if cfg.MayTry == nil {
		cfg.MayTry = func(uint64, int) bool { return true }
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Registry{
		cfg:      cfg,
		ends:     make(map[string]*knownEnd),
		suspects: make(map[uint64]*suspect),
		holds:    make(map[uint64]*hold),
	}
}
