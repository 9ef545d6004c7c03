package streamorigin

import (
	"maps"
	"slices"
	"time"
)

// Versions that streams begin at are recorded where they outlast all daemons. A daemon that knows the records knows
// all versions at which a stream can have begun, although it has just started: before a version is recorded, the
// origins of streams that begin at it are announced, and recorded themselves.

// recorded is what a Table knows of the versions that are recorded.
type recorded struct {
	// known reports that all records have been read.
	known bool
	// versions are those that are recorded, with when this daemon learned of the record.
	versions map[Origin]time.Time
	// services are those whose streams may be taken up.
	services map[string]bool
}

// SetServices sets the services whose versions are to be recorded: those whose streams may be taken up.
func (t *Table) SetServices(services []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recorded.services = make(map[string]bool, len(services))
	for _, s := range services {
		t.recorded.services[s] = true
	}
}

// SetRecorded replaces the versions that are recorded.
func (t *Table) SetRecorded(list []Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	versions := make(map[Origin]time.Time, len(list))
	for _, o := range list {
		versions[o] = now
		if since, known := t.recorded.versions[o]; known {
			versions[o] = since
		}
	}
	t.recorded.known, t.recorded.versions = true, versions
	// Streams that began while a version counted as the only one of its service may have to be announced.
	t.announceOwn(func(string) bool { return true }, now)
}

// Changes are the records of versions that are to be made and dropped.
type Changes struct {
	Record []Origin
	Drop   []Origin
}

// Changes returns the listed versions that are not recorded, and the recorded ones at which no stream that may be taken
// up can have begun: they have not been listed in the retention time, all of which was observed, and this daemon has known
// the record for as long. Otherwise the record could be newer than what this daemon has been told of the list.
func (t *Table) Changes() Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var c Changes
	if !t.recorded.known || t.unreadable || t.missedSome(now) {
		return c
	}
	for o, at := range t.versions {
		if at.Equal(t.observedAt) && t.recorded.services[o.Service] && !t.isRecorded(o) {
			c.Record = append(c.Record, o)
		}
	}
	if !t.complete(now) {
		return c
	}
	for o, since := range t.recorded.versions {
		if now.Sub(t.versions[o]) > t.retention && now.Sub(since) > t.retention {
			c.Drop = append(c.Drop, o)
		}
	}
	return c
}

// isRecorded reports whether a version is recorded. The caller holds mu.
func (t *Table) isRecorded(o Origin) bool {
	_, ok := t.recorded.versions[o]
	return ok
}

// NoteVersions records versions that upstreams of which this daemon has not been told yet have, or had.
func (t *Table) NoteVersions(list []Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	appeared := make(map[string]bool)
	for _, o := range list {
		if _, known := t.versions[o]; !known {
			appeared[o.Service] = true
		}
		t.versions[o] = now
	}
	t.announceOwn(func(service string) bool { return appeared[service] }, now)
}

// onlyRecorded reports whether the records exclude that streams of a service begin at a version that nobody would know
// of after the loss of all daemons. The caller holds mu.
func (t *Table) onlyRecorded(service string, now time.Time) bool {
	if !t.recorded.known || t.unreadable || t.missedSome(now) {
		return false
	}
	candidates := t.candidates(service, now)
	return len(candidates) == 1 && t.isRecorded(Origin{
		Service: service,
		Version: candidates[0],
	})
}

// candidates returns the versions at which streams of a service can have begun, as far as this daemon knows, sorted: those
// that were listed in the retention time, and those that are recorded. The caller holds mu.
func (t *Table) candidates(service string, now time.Time) []string {
	versions := make(map[string]bool)
	for _, v := range t.seen(service, now) {
		versions[v] = true
	}
	for o := range t.recorded.versions {
		if o.Service == service {
			versions[o.Version] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}
