package pipeline

import (
	"container/list"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiafork/internal/table"
)

// affinityPrefixBytes is the length of the prompt prefix that determines the affinity:
// prompts that share it go to the engine that may have it in its prefix cache.
const affinityPrefixBytes = 1024

// resultKey is the hash of everything that a stage's result depends on.
type resultKey [sha256.Size]byte

func resultKeyOf(workspace string, st table.Stage, input string) resultKey {
	h := sha256.New()
	for _, s := range []string{workspace, st.Name, st.Pool, st.Model, input} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return resultKey(h.Sum(nil))
}

func prefixHash(workspace, model, input string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(workspace)
	_, _ = d.WriteString("\x00" + model + "\x00")
	_, _ = d.WriteString(input[:min(len(input), affinityPrefixBytes)])
	return d.Sum64() | 1 // zero means no affinity
}

// resultCache caches the results of cacheable stages for a limited time. Concurrent
// requests with equal inputs share one run, as in singleflight.
type resultCache struct {
	entries int
	ttl     time.Duration

	mu    sync.Mutex
	byKey map[resultKey]*list.Element
	byAge *list.List // of *resultEntry, newest first
}

type resultEntry struct {
	key     resultKey
	done    chan struct{}
	output  string
	err     error
	expires time.Time
}

func newResultCache(entries int, ttl time.Duration) *resultCache {
	return &resultCache{
		entries: entries,
		ttl:     ttl,
		byKey:   make(map[resultKey]*list.Element),
		byAge:   list.New(),
	}
}

// do returns the result for key and whether it came from the cache, calling run if
// there is none. An error is not shared: each waiting request then calls run itself.
func (c *resultCache) do(ctx context.Context, key resultKey, run func() (string, error)) (output string, reused bool, err error) {
	entry, leader := c.entry(key)
	if leader {
		entry.output, entry.err = run()
		c.finish(entry)
		return entry.output, false, entry.err
	}
	select {
	case <-entry.done:
	case <-ctx.Done():
		return "", false, ctx.Err()
	}
	if entry.err == nil {
		return entry.output, true, nil
	}
	output, err = run()
	return output, false, err
}

// entry returns the entry for key, adding one if there is none that is valid. The caller
// that added it is the leader and must call finish.
func (c *resultCache) entry(key resultKey) (entry *resultEntry, leader bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if el, ok := c.byKey[key]; ok {
		e := el.Value.(*resultEntry)
		if e.expires.IsZero() || time.Now().Before(e.expires) {
			return e, false
		}
		c.remove(el)
	}
	e := &resultEntry{
		key:  key,
		done: make(chan struct{}),
		err:  errors.New("not finished"),
	}
	c.byKey[key] = c.byAge.PushFront(e)
	for c.byAge.Len() > c.entries {
		c.remove(c.byAge.Back())
	}
	return e, true
}

// finish publishes the leader's result. An error is removed from the cache.
func (c *resultCache) finish(e *resultEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.expires = time.Now().Add(c.ttl)
	close(e.done)
	if el, ok := c.byKey[e.key]; ok && el.Value == any(e) && e.err != nil {
		c.remove(el)
	}
}

func (c *resultCache) remove(el *list.Element) {
	delete(c.byKey, el.Value.(*resultEntry).key)
	c.byAge.Remove(el)
}
