// Package idempotency runs the request of each idempotency key at most once. A key
// permanently belongs to one incarnation, which is one run of a process; a restart is
// a new incarnation. A system-issued key contains its owner. A key that a caller chose
// is assigned to its owner by a claim, a record on the log. Every other process
// forwards the request to the owner.
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
)

// shardCount is the number of independently locked shards of a Registry.
const shardCount = 16

// KeyHash is the hash of a workspace and a key; RequestHash is the hash of a request.
type (
	KeyHash     [sha256.Size]byte
	RequestHash [sha256.Size]byte
)

// HashKey returns the hash of key in workspace.
func HashKey(workspace, key string) KeyHash {
	return KeyHash(hashStrings(workspace, key))
}

// HashRequest returns the hash of the contents of a request.
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

// Config configures a Registry. Zero values select the defaults.
type Config struct {
	// Self is this process's incarnation.
	Self   string
	Claims Claimer
	// ResultWindow is how long the outcome of a key is stored.
	ResultWindow time.Duration
	// ClaimWindow is how long the state machine retains a claim.
	ClaimWindow time.Duration
	// IssuedKeyTTL is how long a system-issued key is valid.
	IssuedKeyTTL time.Duration
	// MaxResultBytes is the maximum total size of the stored outputs. Each shard may
	// hold an equal part of it and discards its oldest answers first.
	MaxResultBytes int
}

// Claimer determines the owner of a key that a caller chose.
type Claimer interface {
	// Lookup returns the owner of a key that has been claimed.
	Lookup(key KeyHash) (Owner, bool)
	// Claim claims key for this process and returns the key's owner. The error is a
	// *NotClaimedError if no claim was appended; after any other error the claim may
	// have been appended.
	Claim(ctx context.Context, key KeyHash, requestHash RequestHash) (Owner, error)
	// WaitCurrent returns nil once Lookup returns every claim that any process may have
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
	// NonIdempotent is set if the request has a non-idempotent stage.
	NonIdempotent bool
	// Check returns a rejection or nil. It is called before any part of the request is
	// run. It may be nil.
	Check func() *outcome.NotRun
	// Run runs the request. See pipeline.Executor.Run.
	Run func(ctx context.Context) (outcome.Outcome, <-chan outcome.Outcome)
	// Forward sends the request to the process that owns its key.
	Forward func(ctx context.Context, owner string) outcome.Outcome
}

// Registry holds the keys whose requests this process runs or has run. It is safe for
// concurrent use.
type Registry struct {
	cfg    Config
	shards [shardCount]shard
	// created is when the registry was created, with the reading of the monotonic clock, and epoch
	// the reading of the wall clock then.
	created, epoch time.Time
}

type shard struct {
	mu          sync.Mutex
	entries     map[KeyHash]*entry
	completed   *list.List // of *entry, the most recently completed first
	storedBytes int
}

// entry is the state of one key. Its fields are guarded by the shard's lock, except
// key and requestHash, which never change.
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
	// stateRunning means that a request with the key is in progress in this process.
	stateRunning state = iota
	// stateClaimUnknown means that a claim may have been appended and nothing was run.
	stateClaimUnknown
	// stateCompleted means that result is final. A nil result has been evicted.
	stateCompleted
)

// New returns a registry.
func New(cfg Config) *Registry {
	cfg.ResultWindow = cmp.Or(cfg.ResultWindow, DefaultResultWindow)
	cfg.ClaimWindow = cmp.Or(cfg.ClaimWindow, DefaultClaimWindow)
	cfg.IssuedKeyTTL = cmp.Or(cfg.IssuedKeyTTL, DefaultIssuedKeyTTL)
	// The outcome of an issued key must be stored for longer than the key is valid.
	cfg.ResultWindow = max(cfg.ResultWindow, 2*cfg.IssuedKeyTTL)
	cfg.MaxResultBytes = cmp.Or(cfg.MaxResultBytes, DefaultMaxResultBytes)
	r := &Registry{
		cfg:     cfg,
		created: time.Now(),
	}
	r.epoch = r.created.Round(0)
	for i := range r.shards {
		r.shards[i].entries = make(map[KeyHash]*entry)
		r.shards[i].completed = list.New()
	}
	return r
}

// Issue returns a new key that this process owns, and how long it is valid.
func (r *Registry) Issue() (key string, valid time.Duration) {
	return ident.NewIssuedKey(r.cfg.Self, r.now()).String(), r.cfg.IssuedKeyTTL
}

// now returns the time by which keys are issued and expire. It passes like that by which outcomes are
// stored, also when the wall clock is set back: a key must not outlive its outcome.
func (r *Registry) now() time.Time { return r.epoch.Add(time.Since(r.created)) }

func (r *Registry) shard(key KeyHash) *shard {
	return &r.shards[key[0]%shardCount]
}

// begin returns the key's entry. If leader is set, the caller must run the request and
// then call drop, endClaimUnknown or complete. If mayBeClaimed is set, the log may already hold a claim of this process.
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

// doneChan returns a channel that is closed once the run in progress has ended. Each run
// of an entry has a new channel.
func (s *shard) doneChan(e *entry) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.done
}

// drop ends a run whose outcome is not stored, and removes its entry: a later request
// with the key starts anew.
func (s *shard) drop(e *entry, o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.result = o
	delete(s.entries, e.key)
	close(e.done)
}

// endClaimUnknown ends a run that may have appended a claim and has run nothing.
func (s *shard) endClaimUnknown(e *entry, o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.result = o
	e.state = stateClaimUnknown
	close(e.done)
}

// complete ends a run and stores its final outcome.
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

// evict removes the keys that are older than window, then discards the oldest answers
// until at most maxBytes are stored.
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

// outputBytes returns the bytes that storing o takes in addition to its entry.
func outputBytes(o outcome.Outcome) int {
	if a, ok := o.(outcome.Answered); ok {
		return len(a.Output)
	}
	return 0
}
