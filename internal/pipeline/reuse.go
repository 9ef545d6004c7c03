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

// prefixBytes is how much of a prompt decides which engine may have it cached.
const prefixBytes = 1024

// reuseKey is the hash of all that a stage's result depends on.
type reuseKey [sha256.Size]byte

func reuseKeyOf(workspace string, st table.Stage, input string) reuseKey {
	h := sha256.New()
	for _, s := range []string{workspace, st.Name, st.Pool, st.Model, input} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return reuseKey(h.Sum(nil))
}

func prefixHash(workspace, model, input string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(workspace)
	_, _ = d.WriteString("\x00" + model + "\x00")
	_, _ = d.WriteString(input[:min(len(input), prefixBytes)])
	return d.Sum64() | 1 // zero means no affinity
}

// reuseCache keeps finished results of reusable stages for a limited time, and
// lets requests with equal inputs share one run.
type reuseCache struct {
	entries int
	keep    time.Duration

	mu     sync.Mutex
	byKey  map[reuseKey]*list.Element
	oldest *list.List // of *reuseEntry, the least recently made last
}

type reuseEntry struct {
	key     reuseKey
	done    chan struct{}
	output  string
	err     error
	expires time.Time
}

func newReuseCache(entries int, keep time.Duration) *reuseCache {
	return &reuseCache{
		entries: entries,
		keep:    keep,
		byKey:   make(map[reuseKey]*list.Element),
		oldest:  list.New(),
	}
}

// do returns the result for key, running run if there is none. A run that fails
// is not shared: each waiting request then runs on its own.
func (c *reuseCache) do(ctx context.Context, key reuseKey, run func() (string, error)) (output string, reused bool, err error) {
	entry, lead := c.entry(key)
	if lead {
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

func (c *reuseCache) entry(key reuseKey) (entry *reuseEntry, lead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if el, ok := c.byKey[key]; ok {
		e := el.Value.(*reuseEntry)
		if e.expires.IsZero() || time.Now().Before(e.expires) {
			return e, false
		}
		c.remove(el)
	}
	e := &reuseEntry{
		key:  key,
		done: make(chan struct{}),
		err:  errors.New("not finished"),
	}
	c.byKey[key] = c.oldest.PushFront(e)
	for c.oldest.Len() > c.entries {
		c.remove(c.oldest.Back())
	}
	return e, true
}

func (c *reuseCache) finish(e *reuseEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.expires = time.Now().Add(c.keep)
	close(e.done)
	if el, ok := c.byKey[e.key]; ok && el.Value == any(e) && e.err != nil {
		c.remove(el)
	}
}

func (c *reuseCache) remove(el *list.Element) {
	delete(c.byKey, el.Value.(*reuseEntry).key)
	c.oldest.Remove(el)
}
