// Package idempotency runs the request of each key at most once. A key belongs
// to one process incarnation for ever: a system-issued key names it, and a key
// that a caller chose is claimed for it on the log. Every other process passes
// the request on to the owner.
package idempotency

import (
	"cmp"
	"container/list"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"sequoiafork/internal/ident"
	"sequoiafork/internal/outcome"
)

// Defaults of Config.
const (
	DefaultResultWindow   = time.Hour
	DefaultClaimWindow    = 24 * time.Hour
	DefaultIssuedKeyTTL   = 30 * time.Second
	DefaultMaxResultBytes = 16 << 20

	shardCount = 16
)

// KeyHash is the hash of a workspace and a key, and RequestHash that of the request.
type (
	KeyHash     [sha256.Size]byte
	RequestHash [sha256.Size]byte
)

// HashKey returns the hash of key in workspace.
func HashKey(workspace, key string) KeyHash {
	return KeyHash(hashStrings(workspace, key))
}

// HashRequest returns the hash of what a request asks for.
func HashRequest(route, workspace, input string) RequestHash {
	return RequestHash(hashStrings(route, workspace, input))
}

func hashStrings(parts ...string) []byte {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return h.Sum(nil)
}

// Config configures a Registry. Zero fields mean the defaults.
type Config struct {
	// Self is this process's incarnation.
	Self   string
	Claims Claimer
	// ResultWindow is how long the outcome of a key is kept.
	ResultWindow time.Duration
	// ClaimWindow is how long a claim is remembered on the log.
	ClaimWindow time.Duration
	// IssuedKeyTTL is how long a system-issued key may be used.
	IssuedKeyTTL time.Duration
	// MaxResultBytes bounds the answers kept for repeated requests.
	MaxResultBytes int
}

// Claimer settles who owns a key that a caller chose.
type Claimer interface {
	// Lookup returns the owner of a key that has been claimed.
	Lookup(key KeyHash) (Owner, bool)
	// Claim claims key for this process and returns who owns it. The error is a
	// *NotClaimedError when no claim was appended; with any other error one may
	// have been.
	Claim(ctx context.Context, key KeyHash, requestHash RequestHash) (Owner, error)
	// WaitCurrent returns nil once Known knows every claim that any process may have
	// acted on before the call.
	WaitCurrent(ctx context.Context) error
}

// Owner is the incarnation that may run a key's request, and the request's hash.
type Owner struct {
	Incarnation string
	RequestHash RequestHash
}

// Request is one request with a key.
type Request struct {
	ID        string
	Workspace string
	Key       string
	Hash      RequestHash
	// NonIdempotent says that the request has a stage that may not be repeated.
	NonIdempotent bool
	// Check refuses a request before anything of it is run. It may be nil.
	Check func() *outcome.NotRun
	// Run runs the request. See pipeline.Executor.Run.
	Run func(ctx context.Context) (outcome.Outcome, <-chan outcome.Outcome)
	// Forward passes the request on to the process that owns its key.
	Forward func(ctx context.Context, owner string) outcome.Outcome
}

// Registry holds the keys that this process has run. It is safe for concurrent use.
type Registry struct {
	cfg    Config
	shards [shardCount]shard
}

type shard struct {
	mu          sync.Mutex
	entries     map[KeyHash]*entry
	completed   *list.List // of *entry, the most recently settled first
	storedBytes int
}

// entry is one key. Its fields are guarded by the shard's lock, but for key and body,
// which never change.
type entry struct {
	key         KeyHash
	requestHash RequestHash
	state       state
	done        chan struct{}
	result      outcome.Outcome
	completed   time.Time
	element     *list.Element
}

type state int

const (
	// stateRunning means that a request with the key is in progress here.
	stateRunning state = iota
	// stateIdle means that a claim may have been appended and nothing was run.
	stateClaimUnknown
	// stateSettled means that result is final. A nil result is one no longer kept.
	stateCompleted
)

// New returns a registry.
func New(cfg Config) *Registry {
	cfg.ResultWindow = cmp.Or(cfg.ResultWindow, DefaultResultWindow)
	cfg.ClaimWindow = cmp.Or(cfg.ClaimWindow, DefaultClaimWindow)
	cfg.IssuedKeyTTL = cmp.Or(cfg.IssuedKeyTTL, DefaultIssuedKeyTTL)
	// An issued key must be remembered for longer than it may be used.
	cfg.ResultWindow = max(cfg.ResultWindow, 2*cfg.IssuedKeyTTL)
	cfg.MaxResultBytes = cmp.Or(cfg.MaxResultBytes, DefaultMaxResultBytes)
	r := &Registry{
		cfg: cfg,
	}
	for i := range r.shards {
		r.shards[i].entries = make(map[KeyHash]*entry)
		r.shards[i].completed = list.New()
	}
	return r
}

// Issue returns a new key that this process owns, and how long it may be used.
func (r *Registry) Issue() (key string, valid time.Duration) {
	return ident.NewIssuedKey(r.cfg.Self, time.Now()).String(), r.cfg.IssuedKeyTTL
}

func (r *Registry) shard(key KeyHash) *shard {
	return &r.shards[key[0]%shardCount]
}

// begin returns the key's entry. lead says that the caller must run the request
// and end the entry; claimed that a claim of this process may already stand.
func (s *shard) begin(key KeyHash, requestHash RequestHash) (e *entry, leader, mayBeClaimed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if ok && e.state != stateClaimUnknown {
		return e, false, false
	}
	if ok && e.requestHash != requestHash {
		return e, false, true
	}
	if !ok {
		e = &entry{
			key:         key,
			requestHash: requestHash,
		}
		s.entries[key] = e
	}
	e.state = stateRunning
	e.done = make(chan struct{})
	e.result = nil
	return e, true, ok
}

// ended returns a channel that is closed once the run in progress has ended. An entry
// that was idle has a new one for each run.
func (s *shard) doneChan(e *entry) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.done
}

// drop ends a run that left nothing behind: the key may be used again.
func (s *shard) drop(e *entry, o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.result = o
	delete(s.entries, e.key)
	close(e.done)
}

// idle ends a run that may have left a claim and has run nothing.
func (s *shard) endClaimUnknown(e *entry, o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.result = o
	e.state = stateClaimUnknown
	close(e.done)
}

// settle ends a run with its final outcome.
func (s *shard) complete(e *entry, o outcome.Outcome, window time.Duration, maxBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.result = o
	e.state = stateCompleted
	e.completed = time.Now()
	e.element = s.completed.PushFront(e)
	s.storedBytes += outputBytes(o)
	close(e.done)
	s.evict(window, maxBytes)
}

// evict forgets keys past the window and gives up the oldest answers past the
// memory limit. It reads entries from the oldest on.
func (s *shard) evict(window time.Duration, maxBytes int) {
	for el := s.completed.Back(); el != nil; el = s.completed.Back() {
		e := el.Value.(*entry)
		if time.Since(e.completed) < window {
			break
		}
		s.storedBytes -= outputBytes(e.result)
		s.completed.Remove(el)
		delete(s.entries, e.key)
	}
	for el := s.completed.Back(); el != nil && s.storedBytes > maxBytes; el = el.Prev() {
		e := el.Value.(*entry)
		s.storedBytes -= outputBytes(e.result)
		e.result = nil
	}
}

// size returns the bytes that keeping o costs beyond its entry.
func outputBytes(o outcome.Outcome) int {
	if a, ok := o.(outcome.Answered); ok {
		return len(a.Output)
	}
	return 0
}
