package topic

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/era"
	"sequoiafork/internal/panics"
)

// storeEra is the era in which the store was last found.
var storeEra = metrics.GetOrCreateGauge("sequoiafork_store_era", nil)

// Config configures a Follower. All fields but MaxAge, Unchanged, OnUnreachable and OnReachable are
// required.
type Config struct {
	Name  string
	Store Store
	Peers Peers
	// Breaker is shared by the followers of one daemon.
	Breaker *Breaker
	// PollInterval returns the pause between two reads, and PollTimeout how long a read waits
	// for a record.
	PollInterval func() time.Duration
	PollTimeout  func() time.Duration
	// MaxAge returns for how long after the start of a read from the store its result counts as current. Before that
	// time is over the follower reads again, elsewhere if the store or the other daemon that it reads from is silent. It
	// is longer than two reads that wait and the pause between them. Nil means as long as the store answers the reader.
	MaxAge func() time.Duration
	// Backoff returns the pause after a number of consecutive failures.
	Backoff func(failures int) time.Duration
	// Unchanged reports whether a new value of a key says the same as the one before, for example
	// because only a sequence number differs. Such records are passed on without their value, and
	// not to OnRecords. Nil means that all records matter.
	Unchanged func(before, after []byte) bool
	// OnRecords receives new records in order.
	OnRecords func(records []Record)
	// OnNewest receives the newest record of each key.
	OnNewest func(s Snapshot)
	// OnUnreachable and OnReachable are called when the store becomes unreachable and reachable
	// again. reached is when it was surely reached last, or zero, and since is when the daemon that reads the
	// topic for this one first reached it again.
	OnUnreachable func(reached time.Time)
	OnReachable   func(since time.Time)
	Logger        *zap.Logger
}

// Follower follows one topic. Its methods are safe for concurrent use.
type Follower struct {
	cfg    Config
	tail   *tail
	newest *newest
	values map[string][]byte // the last value of each key that was read with it
	next   era.Position      // to read from; the offset is negative before the first read
	// applied is next after the records before it were passed on.
	applied  atomic.Pointer[era.Position]
	failures int
	// unreachable reports that OnUnreachable was called and OnReachable was not called since.
	unreachable bool
	// calledStore reports that the current step has called the store.
	calledStore bool
	// reachableSince is since when the daemon that reads the topic for this one has reached the
	// store. It is zero before the first read.
	reachableSince time.Time
	// reachedAt is when the daemon that reads the topic for this one surely reached the store last.
	reachedAt time.Time
	// currentAt is a time at which this follower's records were all that the store had. It is zero before the first read.
	currentAt time.Time
}

// New returns a follower that reads nothing before Run.
func New(cfg Config) *Follower {
	t := newTail(cfg.Name)
	t.maxAge = cfg.MaxAge
	return &Follower{
		cfg:    cfg,
		tail:   t,
		newest: newNewest(),
		values: make(map[string][]byte),
		next: era.Position{
			Offset: -1,
		},
	}
}

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		f.calledStore = false
		// A read whose handling panics counts as failed, and is repeated after a pause.
		err := panics.Call(f.cfg.Logger, "topic", func() error { return f.step(ctx) })
		f.recordResult(ctx, err, time.Since(began))
		if err != nil {
			f.cfg.Breaker.Wait(ctx, Attempt{
				Began:       began,
				CalledStore: f.calledStore,
				Backoff:     f.cfg.Backoff(f.failures),
			})
			continue
		}
		sleep(ctx, f.cfg.PollInterval())
	}
	return ctx.Err()
}

// Applied returns the position before which all records have been passed on, and false before the first ones.
func (f *Follower) Applied() (era.Position, bool) {
	at := f.applied.Load()
	if at == nil {
		return era.Position{}, false
	}
	return *at, true
}

// setApplied records that all records before f.next have been passed on.
func (f *Follower) setApplied() {
	at := f.next
	f.applied.Store(&at)
}

// ReadTopic returns the records from an offset on to another daemon, while this one reads them
// from the store. It waits for up to wait for the first one. The error is a *NotCurrentError or
// an *ExpiredError, or that of ctx.
func (f *Follower) ReadTopic(ctx context.Context, from era.Position, wait time.Duration) (Page, error) {
	return f.tail.read(ctx, from, wait)
}

// Newest returns the newest records to another daemon as this one knows them, also if it does not read
// the store now. The error is a *NotCurrentError before the first ones, or a *TooLargeError.
func (f *Follower) Newest() (Snapshot, error) { return f.newest.snapshot(f.cfg.Name) }

// step reads once: from another daemon if there is one that reads for this one, and otherwise
// from the store. If neither has the records at the position, it takes the newest ones from another daemon.
func (f *Follower) step(ctx context.Context) error {
	if f.next.Offset < 0 {
		return f.start(ctx)
	}
	var storeErr error
	if fresh := f.freshFor(); fresh <= 0 && !f.cfg.Breaker.Open() {
		expiredTotal(f.cfg.Name).Inc()
		f.cfg.Logger.Info("records of topic too old, reading the store", zap.String("topic", f.cfg.Name), zap.Duration("expired_for_ms", -fresh))
		// Other daemons may have the same silent source.
		if storeErr = f.readStore(ctx); storeErr == nil {
			return nil
		}
	}
	err := f.readPeer(ctx)
	if err == nil {
		return nil
	}
	var own *OwnReadError
	if !errors.As(err, &own) && ctx.Err() == nil {
		f.cfg.Logger.Debug("reading the store, since no peer has the records", zap.String("topic", f.cfg.Name), zap.Error(err))
	}
	if isPositionGone(err) && f.cfg.Breaker.Open() && f.adoptNewest(ctx, err) {
		return err
	}
	if storeErr == nil && f.cfg.Breaker.Allow() {
		if storeErr = f.readStore(ctx); storeErr == nil {
			return nil
		}
		// Daemons that were no candidates while the store served this one may have the records.
		if errors.As(err, &own) && f.readPeer(ctx) == nil {
			return nil
		}
	}
	if storeErr != nil {
		err = errors.Join(storeErr, err)
	}
	if isPositionGone(err) {
		f.adoptNewest(ctx, err)
	}
	return err
}

// isPositionGone reports whether an error tells that the records at a position can't be read any more.
func isPositionGone(err error) bool {
	var expired *ExpiredError
	var otherEra *EraError
	return errors.As(err, &expired) || errors.As(err, &otherEra)
}

// start reads the first records.
func (f *Follower) start(ctx context.Context) error {
	var err error = &NotCurrentError{
		Topic: f.cfg.Name,
	}
	if f.cfg.Breaker.Allow() {
		err = f.readNewest(ctx)
	}
	if err != nil {
		f.adoptNewest(ctx, err)
	}
	return err
}

// adoptNewest continues with the newest records of another daemon while the store can't be read because of a
// cause, and reports whether there are any. The step still counts as failed, since nothing is known yet of how new
// they are.
func (f *Follower) adoptNewest(ctx context.Context, cause error) bool {
	s, err := f.cfg.Peers.ReadNewest(ctx, f.cfg.Name)
	if err != nil || !f.next.Before(s.End) {
		return false
	}
	f.cfg.Logger.Info("newest records taken from a peer, since the store can't be read", zap.String("topic", f.cfg.Name), zap.Error(cause))
	f.markUnreachable(cause)
	f.startAt(&s)
	f.cfg.OnNewest(s)
	f.setApplied()
	return true
}

// pollTimeout returns how long a read waits for a record. While reads fail it does not wait, since
// its response tells that the store is reachable again.
func (f *Follower) pollTimeout() time.Duration {
	if f.failures > 0 {
		return 0
	}
	return f.cfg.PollTimeout()
}

// storePollTimeout is the same for a read from the store, while calls of this daemon to it fail.
func (f *Follower) storePollTimeout() time.Duration {
	if f.cfg.Breaker.Open() {
		return 0
	}
	return f.pollTimeout()
}

// markReachable records, at the first read and at the end of an outage, for how long the store has
// been reachable for the daemon that read from it.
func (f *Follower) markReachable(length time.Duration) {
	if f.failures == 0 && !f.reachableSince.IsZero() {
		return
	}
	f.reachableSince = time.Now().Add(-length)
	f.tail.setReachableSince(f.reachableSince)
}

// readNewest reads the newest record of each key.
func (f *Follower) readNewest(ctx context.Context) error {
	began := time.Now()
	s, err := f.cfg.Store.Newest(ctx, f.cfg.Name)
	if err == nil && s.End.Era < f.next.Era {
		// A response that was under way when the store came back.
		err = &EraError{
			Topic: f.cfg.Name,
			From:  f.next,
			Era:   s.End.Era,
		}
	}
	if err != nil {
		f.reportStore(began, err)
		return err
	}
	f.startAt(&s)
	f.reportStore(began, nil)
	f.cfg.OnNewest(s)
	f.setApplied()
	return nil
}

// startAt continues after a snapshot, and sets its Rewound.
func (f *Follower) startAt(s *Snapshot) {
	s.Rewound = f.next.Offset >= 0 && s.End.Era > f.next.Era
	if s.Rewound {
		f.cfg.Logger.Warn("store came back from an older copy, reading the newest records again", zap.String("topic", f.cfg.Name),
			zap.Int64("old_era", f.next.Era), zap.Int64("new_era", s.End.Era), zap.Int64("old_offset", f.next.Offset), zap.Int64("new_offset", s.End.Offset))
	}
	f.cfg.Logger.Info("newest records of topic read", zap.String("topic", f.cfg.Name), zap.Int("keys", len(s.Records)),
		zap.Int64("era", s.End.Era), zap.Int64("end", s.End.Offset))
	if s.Rewound { // The store is reachable since this era began for the daemon that reads it.
		f.reachableSince = time.Time{}
		f.tail.setReachableSince(time.Now())
	}
	f.next = s.End
	storeEra.Set(float64(s.End.Era))
	clear(f.values)
	if !s.Rewound { // Otherwise the next record of each key confirms it, and is passed on.
		for _, r := range s.Records {
			f.observe(r)
		}
	}
	f.tail.reset(s.End)
	f.newest.reset(*s)
}

// apply passes on the records that begin at f.next. It owns them.
func (f *Follower) apply(records []Record) {
	if len(records) == 0 {
		return
	}
	var changed []Record
	for i, r := range records {
		if records[i].Unchanged = r.Unchanged || f.observe(r); !records[i].Unchanged {
			changed = append(changed, r)
			continue
		}
		records[i].Value = nil
	}
	end := f.next.WithOffset(f.next.Offset + int64(len(records)))
	f.newest.apply(records, end)
	f.tail.appendRecords(f.next, records)
	f.next = end
	if len(changed) > 0 {
		f.cfg.OnRecords(changed)
	}
	f.setApplied()
}

// observe records the value of a key and reports whether it says the same as the one before.
func (f *Follower) observe(r Record) bool {
	if f.cfg.Unchanged == nil {
		return false
	}
	before, known := f.values[r.Key]
	if r.Value == nil {
		delete(f.values, r.Key)
		return false
	}
	f.values[r.Key] = r.Value
	return known && f.cfg.Unchanged(before, r.Value)
}

// recordResult counts consecutive failures and reports the start and the end of an outage once
// each. took is the duration of the read.
func (f *Follower) recordResult(ctx context.Context, err error, took time.Duration) {
	switch {
	case ctx.Err() != nil:
	case err != nil:
		f.failures++
		f.markUnreachable(err)
	case f.failures > 0:
		f.cfg.Logger.Info("store reachable again", zap.String("topic", f.cfg.Name), zap.Int("failures", f.failures), zap.Int64("took_ms", took.Milliseconds()))
		f.failures, f.unreachable = 0, false
		if f.cfg.OnReachable != nil {
			f.cfg.OnReachable(f.reachableSince)
		}
	}
}

// markUnreachable reports the start of an outage, once.
func (f *Follower) markUnreachable(cause error) {
	if f.unreachable {
		return
	}
	f.unreachable = true
	f.cfg.Logger.Warn("store unreachable", zap.String("topic", f.cfg.Name), zap.Error(cause))
	if f.cfg.OnUnreachable != nil {
		f.cfg.OnUnreachable(f.reachedAt)
	}
}

func callIfSet(f func()) {
	if f != nil {
		f()
	}
}

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
