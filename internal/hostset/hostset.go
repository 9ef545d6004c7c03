// Package hostset keeps the hosts that a store lists, through outages of the store in
// which entries lapse although their hosts live.
//
//	s := hostset.New()
//	s.Put("i-1", host, offset)
//	s.Remove("i-2", offset)
//	hosts := s.Hosts()
package hostset

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sequoiafork/internal/upstream"
)

// returnTime is how long after an outage of the store an entry that lapsed meanwhile
// may take to come back: two seconds by the platform's word, and a margin for reading.
const reregistrationTime = 2500 * time.Millisecond

// Set is the hosts by the name of their entry. It is safe for concurrent use.
type Set struct {
	mu          sync.Mutex
	entries     map[string]entry
	unreachable bool
	reachableAt time.Time
}

type entry struct {
	host   upstream.Host
	usable bool
	offset int64
	// lapsed says that the entry was removed around an outage.
	expired bool
}

// New returns an empty set.
func New() *Set {
	return &Set{
		entries: make(map[string]entry),
	}
}

// Put takes over an entry. An entry that can't be used is kept without a host, so that
// an older one does not come back.
func (s *Set) Put(name string, host upstream.Host, usable bool, offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.entries[name]; ok && old.offset > offset {
		return
	}
	s.entries[name] = entry{
		host:   host,
		usable: usable,
		offset: offset,
	}
}

// Remove takes an entry away. Around an outage of the store it stays until it has had
// time to come back.
func (s *Set) Remove(name string, offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[name]
	if !ok || e.offset > offset {
		return
	}
	if s.inOutage(time.Now()) && e.host.State == upstream.Live {
		e.expired = true
		s.entries[name] = e
		return
	}
	delete(s.entries, name)
}

// Retain removes every entry before an offset whose name is not listed.
func (s *Set) Retain(names map[string]bool, before int64) {
	for _, name := range s.missing(names, before) {
		s.Remove(name, before)
	}
}

func (s *Set) missing(names map[string]bool, before int64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for name, e := range s.entries {
		if !names[name] && e.offset < before {
			list = append(list, name)
		}
	}
	return list
}

// MarkStoreUnavailable notes that the store does not answer.
func (s *Set) MarkStoreUnavailable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = true
}

// MarkStoreAvailable notes that the store answers, and reports whether it was away.
func (s *Set) MarkStoreAvailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unreachable {
		return false
	}
	s.unreachable = false
	s.reachableAt = time.Now()
	return true
}

func (s *Set) inOutage(now time.Time) bool {
	return s.unreachable || !s.reachableAt.IsZero() && now.Sub(s.reachableAt) < reregistrationTime
}

// Hosts returns the hosts that can be used, ordered by service and address.
func (s *Set) Hosts() []upstream.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	over := !s.inOutage(time.Now())
	var hosts []upstream.Host
	for name, e := range s.entries {
		if e.expired && over {
			delete(s.entries, name)
			continue
		}
		if e.usable {
			hosts = append(hosts, e.host)
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
