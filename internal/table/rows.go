package table

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rowShards is the number of maps that a table is split into. An edit copies only the
// map that holds its row.
const rowShards = 64

// rowSet is an immutable hash map of rows by name.
type rowSet[T any] struct {
	shards [rowShards]map[string]Row[T]
}

func shardOf(name string) uint64 {
	return xxhash.Sum64String(name) % rowShards
}

// get returns the row with a name. A nil set is empty.
func (s *rowSet[T]) get(name string) (Row[T], bool) {
	if s == nil {
		return Row[T]{}, false
	}
	row, ok := s.shards[shardOf(name)][name]
	return row, ok
}

// with returns the set with a row added or replaced.
func (s *rowSet[T]) with(name string, row Row[T]) *rowSet[T] {
	next := s.copyShard(name)
	next.shards[shardOf(name)][name] = row
	return next
}

// without returns the set without a row.
func (s *rowSet[T]) without(name string) *rowSet[T] {
	next := s.copyShard(name)
	delete(next.shards[shardOf(name)], name)
	return next
}

// copyShard returns a copy of the set that shares all shards but the one of the name.
func (s *rowSet[T]) copyShard(name string) *rowSet[T] {
	next := new(rowSet[T])
	if s != nil {
		*next = *s
	}
	i := shardOf(name)
	next.shards[i] = maps.Clone(next.shards[i])
	if next.shards[i] == nil {
		next.shards[i] = make(map[string]Row[T], 1)
	}
	return next
}

// newRowSet returns a set of the given rows.
func newRowSet[T any](rows []Row[T], name func(T) string) *rowSet[T] {
	s := new(rowSet[T])
	for _, row := range rows {
		key := name(row.Value)
		shard := &s.shards[shardOf(key)]
		if *shard == nil {
			*shard = make(map[string]Row[T], len(rows)/rowShards+1)
		}
		(*shard)[key] = row
	}
	return s
}

// all iterates over the rows in unspecified order.
func (s *rowSet[T]) all() iter.Seq[Row[T]] {
	return func(yield func(Row[T]) bool) {
		if s == nil {
			return
		}
		for _, shard := range s.shards {
			for _, row := range shard {
				if !yield(row) {
					return
				}
			}
		}
	}
}

// sorted returns the rows, sorted by name.
func (s *rowSet[T]) sorted(name func(T) string) []Row[T] {
	rows := slices.Collect(s.all())
	slices.SortFunc(rows, func(a, b Row[T]) int { return cmp.Compare(name(a.Value), name(b.Value)) })
	return rows
}
