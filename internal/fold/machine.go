package fold

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/table"
)

// Defaults of Config.
const (
	DefaultClaimWindow  = 24 * time.Hour
	DefaultEditWindow   = 24 * time.Hour
	DefaultEditLimit    = 10_000
	DefaultDigestWindow = 4096
)

// Config configures a Machine. The windows and the limit are rules of the fold: all
// daemons on one stream must have the same ones.
type Config struct {
	// ClaimWindow is how long a claim is remembered, in the log's time. Zero means
	// DefaultKeyWindow.
	ClaimWindow time.Duration
	// EditWindow is how long the outcome of an edit is remembered, in the log's
	// time. Zero means DefaultEditWindow.
	EditWindow time.Duration
	// EditLimit is how many outcomes are remembered. Zero means DefaultEditLimit.
	EditLimit int
	// DigestWindow is how many offsets back a snapshot can be compared. Zero means
	// DefaultDigestWindow.
	DigestWindow int
	// Logger gets an error for each snapshot that differs. Nil means none.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	c.ClaimWindow = cmp.Or(c.ClaimWindow, DefaultClaimWindow)
	c.EditWindow = cmp.Or(c.EditWindow, DefaultEditWindow)
	c.EditLimit = cmp.Or(c.EditLimit, DefaultEditLimit)
	c.DigestWindow = cmp.Or(c.DigestWindow, DefaultDigestWindow)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

// StateMachine is the folded state of the log. All methods are safe for concurrent use;
// queries don't wait for a record that is being applied, except for Snapshot.
type StateMachine struct {
	config Config

	tables atomic.Pointer[table.Tables]
	next   atomic.Uint64
	ready  atomic.Bool
	claims claimSet

	// mu is held by every change, and guards the fields below.
	mu        sync.RWMutex
	logTimeMs int64
	hashes    stateHashes
	digests   digestRing
	edits     editWindow
	leases    map[string]Lease
	// lastSnap describes the newest snapshot that agrees with the state.
	lastSnapshot SnapshotInfo
	counters     Counters
	changed      chan struct{}
}

// New returns a machine with empty tables that has folded nothing.
func New(c Config) *StateMachine {
	m := &StateMachine{
		config:  c.withDefaults(),
		leases:  make(map[string]Lease),
		changed: make(chan struct{}),
	}
	m.tables.Store(table.New())
	m.next.Store(1)
	return m
}
