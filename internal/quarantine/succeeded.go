package quarantine

import "sync/atomic"

// succeededKeys remembers keys of requests that have succeeded. It forgets one when another one takes its place. It is
// safe for concurrent use.
type succeededKeys struct {
	hashes [4096]atomic.Uint64
}

func (s *succeededKeys) slot(hash uint64) *atomic.Uint64 {
	return &s.hashes[hash%uint64(len(s.hashes))]
}

func (s *succeededKeys) add(hash uint64) {
	if slot := s.slot(hash); slot.Load() != hash {
		slot.Store(hash)
	}
}

func (s *succeededKeys) has(hash uint64) bool { return s.slot(hash).Load() == hash }
