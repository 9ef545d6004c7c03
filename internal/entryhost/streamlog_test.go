package entryhost

import (
	"context"
	"maps"
	"slices"
	"sync"

	"sequoiafork/internal/streamorigin"
)

// recordStore is the part of a store that outlasts all daemons.
type recordStore struct {
	mu       sync.Mutex
	origins  []streamorigin.Record
	versions map[streamorigin.Origin]bool
	// listed are the versions of the upstreams.
	listed  []streamorigin.Origin
	daemons []*Daemon
}

// recordReader is one daemon's access to a recordStore. It implements StreamLog.
type recordReader struct {
	store *recordStore
	read  int
}

// join tells a daemon, now and later, which versions are recorded.
func (s *recordStore) join(d *Daemon) {
	s.mu.Lock()
	s.daemons = append(s.daemons, d)
	s.mu.Unlock()
	s.tell()
}

// tell tells all daemons which versions are recorded.
func (s *recordStore) tell() {
	s.mu.Lock()
	list, daemons := slices.Collect(maps.Keys(s.versions)), slices.Clone(s.daemons)
	s.mu.Unlock()
	for _, d := range daemons {
		d.SetRecordedVersions(list)
	}
}

// AppendOrigins implements StreamLog.
func (r *recordReader) AppendOrigins(_ context.Context, list []streamorigin.Record) error {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.origins = append(r.store.origins, list...)
	return nil
}

// ReadOrigins implements StreamLog.
func (r *recordReader) ReadOrigins(context.Context) ([]streamorigin.Record, error) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	list := slices.Clone(r.store.origins[r.read:])
	r.read = len(r.store.origins)
	return list, nil
}

// UnreadVersions implements StreamLog.
func (r *recordReader) UnreadVersions(context.Context) ([]streamorigin.Origin, error) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return slices.Clone(r.store.listed), nil
}

// RecordVersion implements StreamLog.
func (r *recordReader) RecordVersion(_ context.Context, o streamorigin.Origin, exists bool) error {
	r.store.mu.Lock()
	if exists {
		r.store.versions[o] = true
	} else {
		delete(r.store.versions, o)
	}
	r.store.mu.Unlock()
	r.store.tell()
	return nil
}
