package confsync

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/wire/peerpb"
)

// Defaults of SyncerConfig.
const (
	DefaultPollWait             = 2 * time.Second
	DefaultPeerInterval         = time.Second
	DefaultSnapshotEveryRecords = 1000
	DefaultSnapshotMaxAge       = time.Hour
	DefaultSnapshotDelay        = 10 * time.Second
	DefaultRecentRecords        = 4096
	DefaultMaxPending           = 4096
)

// SyncerConfig configures a Syncer.
type SyncerConfig struct {
	Log     Log
	Machine *fold.StateMachine
	// Peers may be nil.
	Peers Peers
	// OnApplied receives records that this daemon has newly applied, to forward them
	// to peers. It may be nil, must not block, and may be called out of order.
	OnApplied func([]*peerpb.LogRecord)
	Logger    *zap.Logger
	// Writer names this daemon in the snapshots that it appends.
	Writer string
	// Seed seeds the random delays.
	Seed uint64
	// PollWait is how long one read of the log waits for records. Zero means
	// DefaultPollWait.
	PollWait time.Duration
	// PeerInterval is the interval between requests to peers while the log can't be
	// read. Zero means DefaultPeerInterval.
	PeerInterval time.Duration
	// SnapshotEveryRecords is how many records may follow a snapshot before the next one
	// is due. Zero means DefaultSnapshotEveryRecords.
	SnapshotEveryRecords int
	// SnapshotMaxAge is the age of a snapshot at which the next one is due. It must be
	// well below the log's retention time. Zero means DefaultSnapshotMaxAge.
	SnapshotMaxAge time.Duration
	// SnapshotDelay bounds the random delay before a snapshot is written. It is not
	// written if another daemon writes one first. Zero means DefaultSnapshotDelay.
	SnapshotDelay time.Duration
	// RecentRecords is how many records are kept in memory for peers. Zero means
	// DefaultRecentRecords.
	RecentRecords int
	// MaxPending bounds the number of records from peers that wait for earlier ones.
	// Zero means DefaultMaxPending.
	MaxPending int
}

func (c SyncerConfig) withDefaults() SyncerConfig {
	c.PollWait = cmp.Or(c.PollWait, DefaultPollWait)
	c.PeerInterval = cmp.Or(c.PeerInterval, DefaultPeerInterval)
	c.SnapshotEveryRecords = cmp.Or(c.SnapshotEveryRecords, DefaultSnapshotEveryRecords)
	c.SnapshotMaxAge = cmp.Or(c.SnapshotMaxAge, DefaultSnapshotMaxAge)
	c.SnapshotDelay = cmp.Or(c.SnapshotDelay, DefaultSnapshotDelay)
	c.RecentRecords = cmp.Or(c.RecentRecords, DefaultRecentRecords)
	c.MaxPending = cmp.Or(c.MaxPending, DefaultMaxPending)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

// Syncer keeps a state machine up to date with the log and with peers. Its methods are
// safe for concurrent use.
type Syncer struct {
	config  SyncerConfig
	machine *fold.StateMachine
	// gap signals that records from peers wait for earlier ones.
	gap chan struct{}

	// ingestMu serializes changes of the machine, and guards recent and pending.
	ingestMu sync.Mutex
	recent   recentRecords
	pending  map[uint64]*peerpb.LogRecord

	statusMu sync.Mutex
	status   Status

	randMu sync.Mutex
	random *rand.Rand
}

// NewSyncer returns a syncer that does nothing until Run.
func NewSyncer(c SyncerConfig) *Syncer {
	c = c.withDefaults()
	return &Syncer{
		config:  c,
		machine: c.Machine,
		gap:     make(chan struct{}, 1),
		recent: recentRecords{
			limit: c.RecentRecords,
		},
		pending: make(map[uint64]*peerpb.LogRecord),
		random:  rand.New(rand.NewPCG(c.Seed, 0)),
	}
}

// Run synchronizes until ctx ends, and returns its error.
func (s *Syncer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.tail(ctx) })
	g.Go(func() error { return s.syncWithPeers(ctx) })
	g.Go(func() error { return s.writeSnapshots(ctx) })
	return g.Wait()
}

// randomDuration returns a duration in [0, limit).
func (s *Syncer) randomDuration(limit time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return time.Duration(s.random.Int64N(int64(max(limit, 1))))
}

// sleep waits for d, or returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
