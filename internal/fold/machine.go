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
	DefaultClaimWindow = 24 * time.Hour
	DefaultEditWindow  = 24 * time.Hour
	DefaultEditLimit   = 10_000
	DefaultMaxDigests  = 4096
)

// Config configures a StateMachine. ClaimWindow, EditWindow and EditLimit determine the
// state, so they must be the same on all daemons that read one log.
type Config struct {
	// ClaimWindow is how long a claim is kept, in the log's time. Zero means
	// DefaultClaimWindow.
	ClaimWindow time.Duration
	// EditWindow is how long the outcome of an edit is kept, in the log's time. Zero
	// means DefaultEditWindow.
	EditWindow time.Duration
	// EditLimit is the maximum number of outcomes that are kept. Zero means
	// DefaultEditLimit.
	EditLimit int
	// MaxDigests is the number of offsets whose digests are kept to compare
	// snapshots with. Zero means DefaultMaxDigests.
	MaxDigests int
	// Logger receives an error for each corrupted or differing snapshot. Nil disables
	// logging.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	c.ClaimWindow = cmp.Or(c.ClaimWindow, DefaultClaimWindow)
	c.EditWindow = cmp.Or(c.EditWindow, DefaultEditWindow)
	c.EditLimit = cmp.Or(c.EditLimit, DefaultEditLimit)
	c.MaxDigests = cmp.Or(c.MaxDigests, DefaultMaxDigests)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

// StateMachine holds the state that results from the records of the log. All methods
// are safe for concurrent use. Tables, NextOffset, Revision, Ready and Claim don't take
// the lock that is held while a record is applied.
type StateMachine struct {
	config Config

	tables atomic.Pointer[table.Tables]
	next   atomic.Uint64
	ready  atomic.Bool
	claims claimSet

	// mu guards the fields below, and is held for writing by every change of the state.
	mu        sync.RWMutex
	logTimeMs int64
	hashes    stateHashes
	digests   digestRing
	edits     editOutcomes
	leases    map[string]Lease
	// lastSnapshot describes the newest snapshot that was restored or didn't contradict
	// the state.
	lastSnapshot SnapshotInfo
	counters     Counters
	// changed is closed and replaced when the next offset changes.
	changed chan struct{}
}

// New returns a machine with an empty state that expects offset 1.
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
