// Package streamorigin decides where a stream may go on that a caller takes up again, possibly at another
// daemon. What upstreams of two software versions write does not fit together, so a stream stays at the
// service and version of its first event, its origin.
//
// A Table keeps the origins of the streams that this daemon began, and those that peers have announced to it. Origins
// are announced only while a service has, or may have, upstreams of more than one version, so an ordinary
// day costs no message. Decide combines what this daemon and its peers know. The package does no I/O.
//
//	t := streamorigin.New(streamorigin.Config{})
//	t.ObserveUpstreams(versions)
//	t.Begin(id, origin)
//	announce(t.TakeUnannounced())
//	origin, err := streamorigin.Decide(t.Ask(id, service), answers)
package streamorigin

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	defaultRetention  = time.Minute
	defaultMaxEntries = 1 << 16
	// maxObserveGap is the time between two calls of ObserveUpstreams beyond which upstreams may have come and
	// gone unseen, such as while the process was frozen.
	maxObserveGap = 3 * time.Second
)

// Origin is the service and the software version of the upstream that sent the first event of a stream.
type Origin struct {
	Service string
	Version string
}

// WithVersion returns a copy of o with another version.
func (o Origin) WithVersion(version string) Origin {
	o.Version = version
	return o
}

// Entry is the origin of the stream that a request began.
type Entry struct {
	RequestID string
	Origin    Origin
	// Age is the time since the stream was last known to be in use.
	Age time.Duration
}

// Config configures a Table.
type Config struct {
	// Retention is the time for which callers may come back for a stream. Zero means a minute.
	Retention time.Duration
	// MaxEntries bounds the entries; the oldest are dropped. Zero means 65,536.
	MaxEntries int
}

// Table holds the origins of streams, and the versions that upstreams had in the retention time. It is safe
// for concurrent use.
type Table struct {
	maxEntries int

	mu        sync.Mutex
	retention time.Duration
	entries   map[string]*entry
	// queue holds the entries in the order in which they were added or last found in use.
	queue       []queued
	unannounced []string
	// versions holds when an upstream of a service and version was last listed.
	versions map[Origin]time.Time
	// observedSince is since when all upstreams that were listed have been observed, zero while they are not.
	observedSince time.Time
	observedAt    time.Time
	// unreadable reports that the list of upstreams can't be read.
	unreadable bool
	// announceAll reports that all origins are announced.
	announceAll bool
	wake        chan struct{}
	recorded    recorded
	// unrecorded are the streams whose origins are to be recorded.
	unrecorded []string
}

type entry struct {
	origin Origin
	// own reports that this daemon has served the stream, and announced that its peers were told.
	own       bool
	announced bool
	// recorded reports that it was to be recorded.
	recorded bool
	usedAt   time.Time
}

// queued is an entry and when it was used as it was queued.
type queued struct {
	requestID string
	usedAt    time.Time
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{
		maxEntries: cmp.Or(cfg.MaxEntries, defaultMaxEntries),
		retention:  cmp.Or(cfg.Retention, defaultRetention),
		entries:    make(map[string]*entry),
		versions:   make(map[Origin]time.Time),
		wake:       make(chan struct{}, 1),
	}
}

// SetRetention changes the time for which callers may come back. What lies further back than the retention until now
// has been forgotten, so that a longer one counts from there.
func (t *Table) SetRetention(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if since := time.Now().Add(-t.retention); d > t.retention && since.After(t.observedSince) && !t.observedSince.IsZero() {
		t.observedSince = since
	}
	t.retention = d
}

// Retention returns the time for which callers may come back.
func (t *Table) Retention() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retention
}

// Begin records that this daemon serves a stream that began at an origin: it has forwarded the first event, or its
// caller has taken the stream up here.
func (t *Table) Begin(requestID string, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	e := t.put(requestID, o, now)
	e.own = true
	e.usedAt = now
	t.announceIfUncertain(requestID, now)
}

// Receive records origins that a peer has announced.
func (t *Table) Receive(list []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, e := range list {
		if e.Age > t.retention {
			continue
		}
		t.put(e.RequestID, e.Origin, now.Add(-e.Age))
	}
}

// put adds an entry unless there is one. The first origin of a request is the right one.
func (t *Table) put(requestID string, o Origin, usedAt time.Time) *entry {
	t.expire(time.Now(), 1)
	e, ok := t.entries[requestID]
	if !ok {
		e = &entry{
			origin: o,
			usedAt: usedAt,
		}
		t.entries[requestID] = e
		t.queue = append(t.queue, queued{
			requestID: requestID,
			usedAt:    usedAt,
		})
	}
	return e
}

// expire drops the entries that callers don't come back for, and the oldest if there is no room for so many more.
func (t *Table) expire(now time.Time, room int) {
	for len(t.queue) > 0 {
		first := t.queue[0]
		e := t.entries[first.requestID]
		full := len(t.entries)+room > t.maxEntries
		if !full && now.Sub(first.usedAt) <= t.retention {
			return
		}
		t.queue = t.queue[1:]
		if !full && now.Sub(e.usedAt) <= t.retention {
			t.queue = append(t.queue, queued{
				requestID: first.requestID,
				usedAt:    e.usedAt,
			})
			continue
		}
		delete(t.entries, first.requestID)
	}
}

// announceIfUncertain makes TakeUnannounced return an entry if its service may have several versions, or if all
// are announced, and TakeUnrecorded in the first case.
func (t *Table) announceIfUncertain(requestID string, now time.Time) {
	e := t.entries[requestID]
	uncertain := t.uncertain(e.origin.Service, now)
	if uncertain && !e.recorded {
		e.recorded = true
		t.unrecorded = append(t.unrecorded, requestID)
	}
	if e.announced || !t.announceAll && !uncertain {
		return
	}
	e.announced = true
	t.unannounced = append(t.unannounced, requestID)
	select {
	case t.wake <- struct{}{}:
	default: // A wake-up is pending.
	}
}

// uncertain reports whether a stream of a service can have begun at more than one version, or at one that a daemon which
// has just started would not know of.
func (t *Table) uncertain(service string, now time.Time) bool {
	if t.recorded.known {
		return !t.onlyRecorded(service, now)
	}
	return !t.complete(now) || len(t.seen(service, now)) > 1
}

// complete reports whether all upstreams that were listed in the retention time have been observed.
func (t *Table) complete(now time.Time) bool {
	return !t.observedSince.IsZero() && !t.missedSome(now) && now.Sub(t.observedSince) >= t.retention
}

// missedSome reports whether upstreams may have come and gone since they were last observed.
func (t *Table) missedSome(now time.Time) bool { return now.Sub(t.observedAt) > maxObserveGap }

// seen returns the versions of a service that were listed in the retention time, sorted.
func (t *Table) seen(service string, now time.Time) []string {
	var versions []string
	for o, at := range t.versions {
		if o.Service == service && now.Sub(at) <= t.retention {
			versions = append(versions, o.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// ObserveUpstreams records the versions of the upstreams that are listed now. It is to be called at least every
// few seconds, also without a change. When a service gets a second
// version, the streams that began before are announced too.
func (t *Table) ObserveUpstreams(listed []Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !t.unreadable && (t.observedSince.IsZero() || t.missedSome(now)) {
		t.observedSince = now
	}
	t.observedAt = now
	appeared := make(map[string]bool)
	for _, o := range listed {
		if _, known := t.versions[o]; !known {
			appeared[o.Service] = true
		}
		t.versions[o] = now
	}
	for o, at := range t.versions {
		if now.Sub(at) > t.retention {
			delete(t.versions, o)
		}
	}
	t.expire(now, 0)
	if len(appeared) > 0 {
		t.announceOwn(func(service string) bool { return appeared[service] }, now)
	}
}

// SetReadable records whether the list of upstreams can be read. While it can't, new versions are not
// learned, so that all origins are announced.
func (t *Table) SetReadable(readable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if readable != t.unreadable {
		return
	}
	t.unreadable = !readable
	t.observedSince = time.Time{}
	now := time.Now()
	if readable {
		t.observedSince = now
		return
	}
	t.expire(now, 0)
	t.announceOwn(func(string) bool { return true }, now)
}

// AnnounceAll makes the daemon announce all origins, since it is about to end: the others may not have observed
// upstreams for long enough to be sure without it.
func (t *Table) AnnounceAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announceAll = true
	now := time.Now()
	t.expire(now, 0)
	t.announceOwn(func(string) bool { return true }, now)
}

// announceOwn announces the streams of some services that this daemon began, if their versions are uncertain.
func (t *Table) announceOwn(ofService func(service string) bool, now time.Time) {
	for id, e := range t.entries {
		if e.own && ofService(e.origin.Service) {
			t.announceIfUncertain(id, now)
		}
	}
}

// Wake returns a channel that receives a value when there are entries to announce.
func (t *Table) Wake() <-chan struct{} { return t.wake }

// TakeUnannounced returns the entries that peers have to be told, once.
func (t *Table) TakeUnannounced() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.take(t.unannounced)
	t.unannounced = nil
	return list
}

// take returns the entries of some streams that have not been dropped. The caller holds mu.
func (t *Table) take(ids []string) []Entry {
	now := time.Now()
	var list []Entry
	for _, id := range ids {
		e, ok := t.entries[id]
		if !ok {
			continue
		}
		list = append(list, Entry{
			RequestID: id,
			Origin:    e.origin,
			Age:       now.Sub(e.usedAt),
		})
	}
	return list
}

// TakeUnrecorded returns the entries that are to be recorded where they outlast all daemons, once.
func (t *Table) TakeUnrecorded() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.take(t.unrecorded)
	t.unrecorded = nil
	return list
}

// RetryUnrecorded makes TakeUnrecorded return entries again that could not be recorded.
func (t *Table) RetryUnrecorded(list []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range list {
		t.unrecorded = append(t.unrecorded, e.RequestID)
	}
}

// EntriesFor returns the entries that self has to tell a daemon that has just joined, since daemons that were told before may end:
// those of the streams that it has served, and its part of the others.
func (t *Table) EntriesFor(newcomer, self string, living []string) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.expire(now, 0)
	var list []Entry
	j := newJoining(self, newcomer, living)
	for id, e := range t.entries {
		known := e.announced || !e.own // Other daemons know it.
		if !known || !e.own && !j.tells(id) {
			continue
		}
		list = append(list, Entry{
			RequestID: id,
			Origin:    e.origin,
			Age:       now.Sub(e.usedAt),
		})
	}
	return list
}

// Ask returns what this daemon knows of the stream that a request of a service began. It keeps the entry
// from expiring, since the caller is still there.
func (t *Table) Ask(requestID, service string) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.expire(now, 0)
	a := Answer{
		Versions: t.candidates(service, now),
		Complete: t.complete(now),
		Recorded: t.recorded.known,
	}
	if e, ok := t.entries[requestID]; ok {
		e.usedAt = now
		a.Known = true
		a.Origin = e.origin
	}
	return a
}

// Len returns the number of entries.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
