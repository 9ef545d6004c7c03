package topic

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"sequoiafork/internal/era"
	"sequoiafork/internal/membership"
)

const (
	// readerAvoidTime is how long a daemon that did not respond, or that the store did not serve,
	// is not used as reader. A dead one is known to be dead before.
	readerAvoidTime = 3 * time.Second
	// notCurrentAvoidTime is the same for a daemon that does not read from the store now: it may
	// have just started.
	notCurrentAvoidTime = 500 * time.Millisecond
	// maxReaderTries bounds how many daemons are asked for one read.
	maxReaderTries = 3
	// readerMargin is how much longer than its wait a read from a peer may take.
	readerMargin = 400 * time.Millisecond
)

// ReadersConfig configures Readers. All fields are required.
type ReadersConfig struct {
	// Self is this daemon.
	Self membership.Member
	// Members returns the daemons, this one included.
	Members func() []membership.Member
	// Excluded returns the incarnation of the daemon that is not used as reader, if any.
	Excluded func() string
	// Read reads a topic from another daemon, as Peers.ReadTopic does.
	Read func(ctx context.Context, m membership.Member, topic string, from era.Position, wait time.Duration) (Page, error)
	// ReadNewest reads the newest records of a topic from another daemon, as Peers.ReadNewest does.
	ReadNewest func(ctx context.Context, m membership.Member, topic string) (Snapshot, error)
	// Backoff returns the time between two calls to the store after a number of consecutive
	// failures.
	Backoff func(failures int) time.Duration
	// MaxSilence returns how long ago the store may have answered this daemon last while that serves others: longer than
	// two reads that wait and the pause between them.
	MaxSilence func() time.Duration
}

// Readers determines which daemon reads topics for this one, and serves the topics that this
// daemon reads. It is safe for concurrent use.
type Readers struct {
	cfg ReadersConfig
	// avoided are the daemons that could not be read from, and this one if the store failed it.
	avoided membership.AvoidList
	breaker *Breaker

	mu        sync.Mutex
	followers map[string]*Follower
	// sources are the daemons from which this one last read the topics, by the name of the topic.
	sources map[string]string
	// newestTries is how many daemons were asked for the newest records of a topic in vain, by its name.
	newestTries map[string]int
}

// NewReaders returns Readers without followers.
func NewReaders(cfg ReadersConfig) *Readers {
	r := &Readers{
		cfg:         cfg,
		followers:   make(map[string]*Follower),
		sources:     make(map[string]string),
		newestTries: make(map[string]int),
	}
	r.breaker = NewBreaker(BreakerConfig{
		Backoff:   r.backoff,
		OnFailure: func() { r.avoided.Add(cfg.Self.Incarnation, readerAvoidTime) },
		OnSuccess: func() { r.avoided.Remove(cfg.Self.Incarnation) },
	})
	return r
}

// backoff returns the time between two calls of this daemon to an unreachable store.
func (r *Readers) backoff(failures int) time.Duration {
	backoff := r.cfg.Backoff(failures)
	if !isProbe(r.cfg.Members(), r.cfg.Self) {
		backoff *= otherProbeFactor
	}
	return backoff
}

// Follow returns a follower of a topic that does nothing before Run. Other daemons can read the
// topic with Serve while the follower reads it from the store. cfg.Peers and cfg.Breaker are set
// here.
func (r *Readers) Follow(cfg Config) *Follower {
	cfg.Peers = r
	cfg.Breaker = r.breaker
	f := New(cfg)
	f.tail.answeredAt, f.tail.maxSilence = r.breaker.AnsweredAt, r.cfg.MaxSilence
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followers[cfg.Name] = f
	return f
}

// Current returns the incarnation of the daemon that reads for this one now, which may be itself.
func (r *Readers) Current() string {
	if m, ok := r.choose(); ok {
		return m.Incarnation
	}
	return r.cfg.Self.Incarnation
}

// candidates returns the daemons that may read topics for this one, in the order of choice: those in
// its data centre and, if the store does not serve this daemon, the others.
func (r *Readers) candidates() []membership.Member {
	members := r.cfg.Members()
	list := living(members, func(m membership.Member) bool { return m.DataCentre == r.cfg.Self.DataCentre })
	if r.avoided.Contains(r.cfg.Self.Incarnation) {
		others := living(members, func(m membership.Member) bool { return m.DataCentre != r.cfg.Self.DataCentre })
		list = append(list, others...)
	}
	excluded := r.cfg.Excluded()
	return slices.DeleteFunc(list, func(m membership.Member) bool { return m.Incarnation == excluded })
}

// choose returns the first candidate that is not avoided, and false if that is this daemon or none.
func (r *Readers) choose() (membership.Member, bool) {
	for _, m := range r.candidates() {
		if !r.avoided.Contains(m.Incarnation) {
			return m, m.Incarnation != r.cfg.Self.Incarnation
		}
	}
	return membership.Member{}, false
}

// chooseNamed returns the candidate with an incarnation, if it is not avoided and not this daemon.
func (r *Readers) chooseNamed(incarnation string) (membership.Member, bool) {
	if incarnation == r.cfg.Self.Incarnation || r.avoided.Contains(incarnation) {
		return membership.Member{}, false
	}
	for _, m := range r.candidates() {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return membership.Member{}, false
}

// ReadTopic implements Peers. If the chosen daemon does not read from the store now, it asks the
// one from which that one reads, or the next candidates. A daemon that reads from the store itself
// asks only those before it in the order, so that two never wait for each other.
func (r *Readers) ReadTopic(ctx context.Context, topic string, from era.Position, wait time.Duration) (Page, error) {
	var notCurrent *NotCurrentError
	for range maxReaderTries {
		reader, ok := membership.Member{}, false
		if notCurrent != nil && !r.readsStore(topic) {
			reader, ok = r.chooseNamed(notCurrent.Reader)
		}
		if !ok {
			reader, ok = r.choose()
		}
		if !ok {
			return Page{}, &OwnReadError{}
		}
		page, err := r.read(ctx, reader, topic, from, wait)
		r.setSource(topic, reader.Incarnation, err)
		if !errors.As(err, &notCurrent) {
			return page, err
		}
	}
	return Page{}, notCurrent
}

// readsStore reports whether this daemon reads a topic from the store itself.
func (r *Readers) readsStore(topic string) bool {
	r.mu.Lock()
	f := r.followers[topic]
	r.mu.Unlock()
	return f != nil && f.tail.isRead()
}

// ReadNewest implements Peers. It asks the daemon that last served the topic to this one, and then the other
// candidates in turn.
func (r *Readers) ReadNewest(ctx context.Context, topic string) (Snapshot, error) {
	var err error = &NotCurrentError{
		Topic: topic,
	}
	list := r.newestCandidates(topic)
	for _, m := range list[:min(len(list), maxReaderTries)] {
		var s Snapshot
		if s, err = r.readNewest(ctx, m, topic); err == nil {
			return s, nil
		}
		r.addNewestTry(topic)
	}
	return Snapshot{}, err
}

func (r *Readers) addNewestTry(topic string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newestTries[topic]++
}

// newestCandidates returns the daemons that are asked for the newest records of a topic, in order. The one that
// reads the topic from the store comes first, since those of this data centre may not be served, either. The others
// follow from the first one that was not asked in vain, so that all are asked in turn.
func (r *Readers) newestCandidates(topic string) []membership.Member {
	r.mu.Lock()
	source, tries := r.sources[topic], r.newestTries[topic]
	r.mu.Unlock()
	list := slices.DeleteFunc(r.candidates(), func(m membership.Member) bool { return m.Incarnation == r.cfg.Self.Incarnation })
	if len(list) == 0 {
		return nil
	}
	if i := slices.IndexFunc(list, func(m membership.Member) bool { return m.Incarnation == source }); i >= 0 {
		return slices.Concat(list[i:i+1], list[:i], list[i+1:])
	}
	next := tries % len(list)
	return slices.Concat(list[next:], list[:next])
}

func (r *Readers) readNewest(ctx context.Context, m membership.Member, topic string) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, readerMargin)
	defer cancel()
	return r.cfg.ReadNewest(ctx, m, topic)
}

// setSource records the result of a read from another daemon. One that reads the topic, but lacks the records at
// the position, is a source, too.
func (r *Readers) setSource(topic, incarnation string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired *ExpiredError
	switch {
	case err == nil || errors.As(err, &expired):
		r.sources[topic] = incarnation
	case r.sources[topic] == incarnation:
		delete(r.sources, topic)
	}
}

// read reads from another daemon, and avoids it for some time after a failure. It waits for a record only as long as the
// response can arrive before the deadline of ctx, of which the reader knows nothing.
func (r *Readers) read(ctx context.Context, reader membership.Member, topic string, from era.Position, wait time.Duration) (Page, error) {
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, max(time.Until(deadline)-responseTime, 0))
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+readerMargin)
	defer cancel()
	page, err := r.cfg.Read(callCtx, reader, topic, from, wait)
	var expired *ExpiredError
	var notCurrent *NotCurrentError
	switch {
	case err == nil || errors.As(err, &expired):
	case errors.As(err, &notCurrent), ctx.Err() != nil:
		r.avoided.Add(reader.Incarnation, notCurrentAvoidTime)
	default:
		r.avoided.Add(reader.Incarnation, readerAvoidTime)
	}
	return page, err
}

// ServeNewest returns the newest records of a topic to another daemon, as Follower.Newest does. The error is
// a *NotCurrentError also if this daemon does not follow the topic.
func (r *Readers) ServeNewest(topic string) (Snapshot, error) {
	r.mu.Lock()
	f := r.followers[topic]
	r.mu.Unlock()
	if f == nil {
		return Snapshot{}, &NotCurrentError{
			Topic: topic,
		}
	}
	return f.Newest()
}

// Status is how far a topic has been read.
type Status struct {
	Topic  string `json:"topic"`
	Era    int64  `json:"era"`
	Offset int64  `json:"offset"`
	// FromStore reports that this daemon reads it from the store itself.
	FromStore bool `json:"from_store"`
}

// Status returns the status of the topics that this daemon follows, by name.
func (r *Readers) Status() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Status
	for _, name := range slices.Sorted(maps.Keys(r.followers)) {
		t := r.followers[name].tail
		at := t.position()
		list = append(list, Status{
			Topic:     name,
			Era:       at.Era,
			Offset:    at.Offset,
			FromStore: t.isRead(),
		})
	}
	return list
}

// Serve returns the records of a topic from a position on to another daemon, as Follower.ReadTopic
// does. The error is a *NotCurrentError also if this daemon does not follow the topic.
func (r *Readers) Serve(ctx context.Context, topic string, from era.Position, wait time.Duration) (Page, error) {
	r.mu.Lock()
	f := r.followers[topic]
	r.mu.Unlock()
	if f == nil {
		return Page{}, &NotCurrentError{
			Topic: topic,
		}
	}
	page, err := f.ReadTopic(ctx, from, wait)
	var notCurrent *NotCurrentError
	if errors.As(err, &notCurrent) {
		notCurrent.Reader = r.source(topic) // It may have changed while the read waited.
	}
	return page, err
}

// source returns the daemon from which this one last read a topic, if any.
func (r *Readers) source(topic string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sources[topic]
}
