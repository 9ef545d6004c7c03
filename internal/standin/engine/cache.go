package engine

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiafork/internal/wire/upstreamapi"
)

// blockBytes is the number of prompt bytes that one cache block covers.
const blockBytes = 64

// prefixCache is an LRU cache of prompt prefixes with a bounded number of
// blocks. It is not safe for concurrent use.
type prefixCache struct {
	capacity int
	lru      *list.List // Prefix hashes (uint64), most recently used first.
	blocks   map[uint64]*list.Element
	events   eventLog
}

func newPrefixCache(capacity int, r *rand.Rand) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		lru:      list.New(),
		blocks:   make(map[uint64]*list.Element),
		events: eventLog{
			rand: r,
		},
	}
}

// use returns the length of the longest cached prefix of prompt in bytes, and
// caches all blocks of prompt.
func (c *prefixCache) use(prompt string, dropRate float64) int {
	cached := 0
	missed := false
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		hash := xxhash.Sum64String(prompt[:end])
		if c.touch(hash, dropRate) && !missed {
			cached = end
			continue
		}
		missed = true
	}
	return cached
}

// touch marks the block as most recently used, caching it if necessary, and
// reports whether it was cached before.
func (c *prefixCache) touch(hash uint64, dropRate float64) bool {
	if e, ok := c.blocks[hash]; ok {
		c.lru.MoveToFront(e)
		return true
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.events.add(upstreamapi.CacheEventKindStored, hash, dropRate)
	if c.lru.Len() > c.capacity {
		oldest := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, oldest)
		c.events.add(upstreamapi.CacheEventKindEvicted, oldest, dropRate)
	}
	return false
}

// eventLog stores cache events. It drops some at random, which leaves gaps in
// their sequence numbers.
type eventLog struct {
	rand         *rand.Rand
	lastSequence int64
	events       []timedEvent
}

type timedEvent struct {
	at    time.Time
	event upstreamapi.CacheEvent
}

func (l *eventLog) add(kind upstreamapi.CacheEventKind, hash uint64, dropRate float64) {
	l.lastSequence++
	if l.rand.Float64() < dropRate {
		return
	}
	l.events = append(l.events, timedEvent{
		at: time.Now(),
		event: upstreamapi.CacheEvent{
			Sequence:   l.lastSequence,
			Kind:       kind,
			PrefixHash: fmt.Sprintf("%016x", hash),
		},
	})
}

// since returns the events with a higher sequence number that are at least lag
// old.
func (l *eventLog) since(sequence int64, lag time.Duration) *upstreamapi.CacheEvents {
	cutoff := time.Now().Add(-lag)
	result := &upstreamapi.CacheEvents{
		Events: []upstreamapi.CacheEvent{},
		Next:   sequence,
	}
	for _, e := range l.events {
		if e.at.After(cutoff) {
			break
		}
		if e.event.Sequence <= sequence {
			continue
		}
		result.Events = append(result.Events, e.event)
		result.Next = e.event.Sequence
	}
	return result
}
