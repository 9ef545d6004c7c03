package topic

import (
	"context"
	"slices"
	"sync"
	"time"

	"sequoiafork/internal/era"
)

const (
	// maxTailBytes bounds the keys and values of the records that a tail keeps. It keeps at
	// least one record, and on the users' largest deployment those of some ten seconds.
	maxTailBytes = 256 << 10
	// maxServedBytes bounds the keys and values of one response to another daemon, whose followers
	// share the link of this one. Larger records are read from the store by each follower.
	maxServedBytes = 16 << 10
	// currentFor is how long after a read from the store a tail without other bounds counts as current.
	currentFor = 2 * time.Second
)

// tail holds the latest records of a topic, for other daemons. It is safe for concurrent use.
type tail struct {
	topic string
	// maxAge returns for how long after readAt the tail is current. Nil means as long as the store is not silent.
	maxAge func() time.Duration
	// answeredAt returns when the store last answered this daemon. If it is silent for maxSilence after that, a read that
	// waits for a record tells nothing. Nil means that the tail is current for currentFor after readAt.
	answeredAt func() time.Time
	maxSilence func() time.Duration

	mu      sync.Mutex
	records []Record // without gaps, the last one before next
	bytes   int
	next    era.Position
	// readAt is as of when the last read from the store that succeeded tells that the tail has all records. It is
	// zero after one that failed and while another daemon reads for this one.
	readAt time.Time
	// reachableSince is since when the daemon that reads the topic has reached the store.
	reachableSince time.Time
	// changed is closed and replaced when one of the fields above changes.
	changed chan struct{}
}

func newTail(topic string) *tail {
	return &tail{
		topic: topic,
		next: era.Position{
			Offset: -1,
		},
		changed: make(chan struct{}),
	}
}

// reset drops all records, so that the tail begins at a position.
func (t *tail) reset(at era.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records, t.bytes, t.next = nil, 0, at
	t.signal()
}

// appendRecords adds the records that were read from a position on. If they do not continue the
// tail, it begins anew.
func (t *tail) appendRecords(from era.Position, records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from != t.next {
		t.records, t.bytes = nil, 0
	}
	t.records = append(t.records, records...)
	t.next = from.WithOffset(from.Offset + int64(len(records)))
	for _, r := range records {
		t.bytes += r.size()
	}
	for len(t.records) > 1 && t.bytes > maxTailBytes {
		t.bytes -= t.records[0].size()
		t.records[0] = Record{}
		t.records = t.records[1:]
	}
	t.signal()
}

func (r Record) size() int { return len(r.Key) + len(r.Value) }

// setReadAt records as of when the store was last read; zero means that it is not read here.
func (t *tail) setReadAt(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := at.IsZero() && !t.readAt.IsZero()
	t.readAt = at
	if lost {
		t.signal()
	}
}

// position returns where the tail ends.
func (t *tail) position() era.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// isRead reports whether this daemon reads the topic from the store itself.
func (t *tail) isRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.readAt.IsZero()
}

// setReachableSince records since when the daemon that reads the topic has reached the store.
func (t *tail) setReachableSince(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reachableSince = at
}

// signal wakes up the readers. The caller holds the lock.
func (t *tail) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// currentUntil returns when the tail will not be current any more without another response of the store. The caller holds the
// lock.
func (t *tail) currentUntil() time.Time {
	if t.readAt.IsZero() {
		return time.Time{}
	}
	until := t.readAt.Add(currentFor)
	if t.answeredAt != nil {
		until = latest(t.readAt, t.answeredAt()).Add(t.maxSilence())
	}
	if t.maxAge == nil {
		return until
	}
	if expiry := t.readAt.Add(t.maxAge()); expiry.Before(until) {
		return expiry
	}
	return until
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waitFor returns how long a read that asks for a wait may wait: only as long as the tail is current.
func (t *tail) waitFor(wait time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(wait, max(time.Until(t.currentUntil()), 0))
}

// read returns the records from a position on. It waits for up to wait for the first one and
// returns none if none arrives, or sooner if the tail is not current any more. The error is a *NotCurrentError if the tail may lack records that
// the store has, and an *ExpiredError if it no longer has those at the position, because of their age
// or of a new era, or if they are too large to be served.
func (t *tail) read(ctx context.Context, from era.Position, wait time.Duration) (Page, error) {
	wait = t.waitFor(wait)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, changed, err := t.pageFrom(from, time.Now())
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			page, _, err := t.pageFrom(from, time.Now())
			return page, err
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// pageFrom returns the records from a position on, and a channel that is closed when there may be
// more.
func (t *tail) pageFrom(from era.Position, now time.Time) (Page, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.next.WithOffset(t.next.Offset - int64(len(t.records)))
	switch {
	case now.After(t.currentUntil()) || t.next.Before(from):
		return Page{}, nil, &NotCurrentError{
			Topic: t.topic,
		}
	case from.Before(first):
		return Page{}, nil, &ExpiredError{
			Topic: t.topic,
			From:  from,
		}
	}
	records := t.records[from.Offset-first.Offset:]
	if totalSize(records) > maxServedBytes {
		return Page{}, nil, &ExpiredError{
			Topic: t.topic,
			From:  from,
		}
	}
	return Page{
		Records:      slices.Clone(records), // The tail drops records while these are sent.
		ReachableFor: now.Sub(t.reachableSince),
		CurrentAt:    t.readAt,
	}, t.changed, nil
}

func totalSize(records []Record) int {
	sum := 0
	for _, r := range records {
		sum += r.size()
	}
	return sum
}
