// Package hostset tracks the upstream hosts listed in a store. It retains them across
// outages of the store, in which entries expire although their hosts are alive, and keeps what is
// known of them when the store comes back from an older copy.
//
//	s := hostset.New(hostset.Config{Logger: logger})
//	s.Put("i-1", entry, position)
//	s.Remove("i-2", position)
//	hosts := s.Hosts()
package hostset

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/era"
	"sequoiafork/internal/upstream"
)

const (
	// removedTTL is how long a removed entry is remembered, in case that the store comes back from a
	// copy that still has it.
	removedTTL = time.Minute
	// hiddenTTL is how long an entry that was removed stays hidden when an older copy of the store has
	// it again. If its host is gone, the entry expires within entryTTL.
	hiddenTTL = 5 * time.Second
)

// retainedTotal counts the entries that were removed from the store and retained.
var retainedTotal = metrics.GetOrCreateCounter("sequoiafork_upstream_entries_retained_total")

// Config configures a Set.
type Config struct {
	// Logger may be nil.
	Logger *zap.Logger
}

// Entry is what the store lists under a name.
type Entry struct {
	Host upstream.Host
	// Started orders the runs of a host: the later one has the higher number. Zero means unknown.
	Started int64
	// ColdKnown reports that the entry says for how long the host is cold from now on: for ColdLeft.
	ColdKnown bool
	ColdLeft  time.Duration
	// Usable reports that the entry describes a valid host. One that does not is kept, so that an
	// older one does not reappear, but not listed by Hosts.
	Usable bool
}

// sameRun reports whether two entries describe the same run of a host.
func (e Entry) sameRun(o Entry) bool { return e.Host.Incarnation == o.Host.Incarnation }

// Listed is an entry with its name and position in the store.
type Listed struct {
	Entry
	Name string
	At   era.Position
}

// Set holds the hosts by the name of their entry. It is safe for concurrent use.
type Set struct {
	log *zap.Logger

	mu      sync.Mutex
	entries map[string]entry
	removed map[string]removed
	outages outages
}

type entry struct {
	Entry
	at era.Position
	// expired reports that the entry was removed during or soon after an outage, or that a copy of the
	// store lacks it.
	expired bool
	// hiddenUntil is when an entry is listed at the latest that was removed and that a copy of the store
	// has again.
	hiddenUntil time.Time
}

// removed is an entry that was removed.
type removed struct {
	Entry
	at time.Time
}

// New returns an empty Set.
func New(cfg Config) *Set {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Set{
		log:     cfg.Logger,
		entries: make(map[string]entry),
		removed: make(map[string]removed),
	}
}

// Put adds or replaces an entry unless one at a later position in the store is known.
func (s *Set) Put(name string, e Entry, at era.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.entries[name]; ok && at.Before(old.at) {
		return
	}
	s.put(name, e, at)
}

func (s *Set) put(name string, e Entry, at era.Position) {
	delete(s.removed, name)
	s.entries[name] = entry{
		Entry: e.withCold(s.entries[name].Entry, time.Now()),
		at:    at,
	}
}

// Remove removes an entry unless one at a later position is known. During and soon after an outage of
// the store, a live host stays until its entry has had time to reappear.
func (s *Set) Remove(name string, at era.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[name]
	if !ok || at.Before(e.at) {
		return
	}
	if s.outages.entriesMayBeMissing(time.Now()) && e.Host.State == upstream.Live {
		s.retain(name, e, at)
		return
	}
	s.remove(name, e)
	s.log.Info("upstream entry removed", zap.String("upstream", e.Host.Incarnation), zap.Stringer("position", at))
}

// remove removes an entry and remembers it.
func (s *Set) remove(name string, e entry) {
	delete(s.entries, name)
	s.removed[name] = removed{
		Entry: e.Entry,
		at:    time.Now(),
	}
	maps.DeleteFunc(s.removed, func(_ string, r removed) bool { return time.Since(r.at) > removedTTL })
}

// retain marks an entry that the store does not have at a position as expired, and logs that its host is
// retained.
func (s *Set) retain(name string, e entry, at era.Position) {
	e.expired = true
	s.entries[name] = e
	retainedTotal.Inc()
	fields := []zap.Field{
		zap.String("upstream", e.Host.Incarnation),
		zap.Stringer("position", at),
		zap.Bool("store_unreachable", s.outages.unreachable),
	}
	if !s.outages.unreachable {
		fields = append(fields, zap.Int64("reachable_for_ms", time.Since(s.outages.reachableAt).Milliseconds()))
	}
	s.log.Info("upstream entry removed around an outage of the store, host retained", fields...)
}

// Replace replaces all entries by those that the store lists. Ones at later positions than end stay.
func (s *Set) Replace(list []Listed, end era.Position) {
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.Name] = true
	}
	for _, name := range s.missing(listed, end) {
		s.Remove(name, end)
	}
	for _, l := range list {
		s.Put(l.Name, l.Entry, l.At)
	}
}

func (s *Set) missing(listed map[string]bool, before era.Position) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, e := range s.entries {
		if !listed[name] && e.at.Before(before) {
			names = append(names, name)
		}
	}
	return names
}

// Rewind replaces the positions of all entries by those of a new era, in which the store lists the
// entries of an older copy. What is known stays where the copy may be older: until it is written
// again, and for reregistrationTime at most if the copy lacks it.
func (s *Set) Rewind(list []Listed, end era.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dropExpired(now)
	s.outages.rewind(now)
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.Name] = true
		s.rewindEntry(l)
	}
	for name, e := range s.entries {
		if listed[name] {
			continue
		}
		e.at = end
		s.retain(name, e, end)
	}
}

// rewindEntry merges an entry of an older copy with what is known.
func (s *Set) rewindEntry(l Listed) {
	if gone, ok := s.removed[l.Name]; ok && (gone.sameRun(l.Entry) || gone.Started > l.Started) {
		// It was removed after the copy was made. A record that is written now shows it again.
		s.entries[l.Name] = entry{
			Entry:       l.withCold(gone.Entry, time.Now()),
			at:          l.At,
			hiddenUntil: time.Now().Add(hiddenTTL),
		}
		return
	}
	known, ok := s.entries[l.Name]
	newer := ok && known.Usable &&
		(known.sameRun(l.Entry) && known.Host.State == upstream.Leaving || known.Started > l.Started)
	if !newer {
		s.put(l.Name, l.Entry, l.At)
		return
	}
	known.at = l.At
	s.entries[l.Name] = known
}

// MarkStoreUnavailable records that the store is unreachable, and when it was last reached; zero means never. Entries
// whose time to reappear is over are not retained any longer.
func (s *Set) MarkStoreUnavailable(reached time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(time.Now())
	s.outages.begin(reached)
}

// MarkStoreAvailable records that the store is reachable, and since when. It does nothing if the
// store was not marked as unreachable.
func (s *Set) MarkStoreAvailable(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.outages.unreachable {
		return
	}
	if length, couldExpire := s.outages.end(since); !couldExpire {
		s.log.Info("outage of the store too short for entries to expire, retaining none", zap.Duration("length", length))
	}
}

// dropExpired drops the retained entries whose time to reappear is over.
func (s *Set) dropExpired(now time.Time) {
	if s.outages.entriesMayBeMissing(now) {
		return
	}
	for name, e := range s.entries {
		if e.expired {
			s.remove(name, e)
			s.log.Info("retained upstream dropped, since its entry has not reappeared", zap.String("upstream", e.Host.Incarnation))
		}
	}
}

// TakesWork reports whether the entry with a name lists a run of a host that does not leave.
func (s *Set) TakesWork(name, incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[name]
	return ok && e.Usable && e.Host.Incarnation == incarnation && e.Host.State == upstream.Live && !time.Now().Before(e.hiddenUntil)
}

// Hosts returns the usable hosts, ordered by service, address and incarnation (one run of
// an upstream process).
func (s *Set) Hosts() []upstream.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dropExpired(now)
	var hosts []upstream.Host
	for _, e := range s.entries {
		if e.Usable && !now.Before(e.hiddenUntil) {
			hosts = append(hosts, e.Host)
		}
	}
	slices.SortFunc(hosts, func(a, b upstream.Host) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Addr, b.Addr),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return hosts
}
