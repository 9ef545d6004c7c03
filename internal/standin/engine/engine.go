// Package engine simulates a model engine for tests: it supports continuous
// batching, prefix caching, priorities, resuming and cancelling streams, and
// commands that assign models to it.
package engine

import (
	"cmp"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"sequoiafork/internal/standin/control"
	"sequoiafork/internal/standin/loadreport"
	"sequoiafork/internal/standin/unserved"
	"sequoiafork/internal/wire/platformapi"
	"sequoiafork/internal/wire/standinapi"
	"sequoiafork/internal/wire/upstreamapi"
)

// Defaults of a Config.
const (
	DefaultCapacity           = 8
	DefaultTokenTime          = 2 * time.Millisecond
	DefaultPrefillTimePerByte = 2 * time.Microsecond
	DefaultCacheBlocks        = 256
	DefaultResumeTimeout      = 5 * time.Second
	DefaultMaxQueue           = 256
)

// fullBatchSlowdown is the relative slowdown of a step of a full batch compared
// with a step of a single sequence.
const fullBatchSlowdown = 1.0

// Config holds the settings of an Engine.
type Config struct {
	// Control supplies the injected faults and the ledger; it is required.
	Control *control.Control
	// Capacity is the maximum batch size, DefaultCapacity when zero.
	Capacity int
	// MaxQueue is the maximum number of queued completions, DefaultMaxQueue
	// when zero.
	MaxQueue int
	// TokenTime is the duration of a step with one sequence, DefaultTokenTime
	// when zero.
	TokenTime time.Duration
	// PrefillTimePerByte is the time to process one byte of a prompt that is
	// not cached, DefaultPrefillTimePerByte when zero.
	PrefillTimePerByte time.Duration
	// CacheBlocks is the capacity of the prefix cache, DefaultCacheBlocks when
	// zero.
	CacheBlocks int
	// ResumeTimeout is how long a completion without a reader can be resumed,
	// DefaultResumeTimeout when zero.
	ResumeTimeout time.Duration
	// Models are the models loaded at startup.
	Models []string
	// ChecksFencing makes the engine reject model assignments with a stale
	// fencing token.
	ChecksFencing bool
	// Weights is the client of the weight store; when nil, models load
	// instantly.
	Weights *platformapi.Client
	// Seed seeds the random choice of the cache events that are dropped.
	Seed uint64
}

// Engine serves simulated completions of prompts. It is safe for concurrent use;
// Run must be called for completions to make progress.
type Engine struct {
	unserved.Upstream

	control            *control.Control
	capacity           int
	maxQueue           int
	tokenTime          time.Duration
	prefillTimePerByte time.Duration
	resumeTimeout      time.Duration
	checksFencing      bool
	weights            *platformapi.Client
	wake               chan struct{}
	report             loadreport.Sampler

	mu          sync.Mutex
	lastArrival uint64 // Arrival number of the sequence queued last.
	queue       queue
	batch       []*sequence
	sequences   map[string]*sequence // By attempt id, until cancelled or expired.
	cache       *prefixCache
	models      []string
	role        string
	fencing     int64
}

var (
	_ upstreamapi.Handler    = (*Engine)(nil)
	_ upstreamapi.RawHandler = (*Engine)(nil)
)

// New returns an idle Engine.
func New(c Config) *Engine {
	c = c.withDefaults()
	return &Engine{
		control:            c.Control,
		capacity:           c.Capacity,
		maxQueue:           c.MaxQueue,
		tokenTime:          c.TokenTime,
		prefillTimePerByte: c.PrefillTimePerByte,
		resumeTimeout:      c.ResumeTimeout,
		checksFencing:      c.ChecksFencing,
		weights:            c.Weights,
		wake:               make(chan struct{}, 1),
		sequences:          make(map[string]*sequence),
		cache:              newPrefixCache(c.CacheBlocks, rand.New(rand.NewPCG(c.Seed, 0))),
		models:             c.Models,
	}
}

func (c Config) withDefaults() Config {
	c.Capacity = cmp.Or(c.Capacity, DefaultCapacity)
	c.MaxQueue = cmp.Or(c.MaxQueue, DefaultMaxQueue)
	c.TokenTime = cmp.Or(c.TokenTime, DefaultTokenTime)
	c.PrefillTimePerByte = cmp.Or(c.PrefillTimePerByte, DefaultPrefillTimePerByte)
	c.CacheBlocks = cmp.Or(c.CacheBlocks, DefaultCacheBlocks)
	c.ResumeTimeout = cmp.Or(c.ResumeTimeout, DefaultResumeTimeout)
	return c
}

func (e *Engine) beginLedgerEntry(s *sequence) *control.Execution {
	requestID, _, _ := strings.Cut(s.id, ".")
	return e.control.Ledger.Begin(standinapi.Entry{
		RequestID:  requestID,
		AttemptID:  s.id,
		Stage:      "completion",
		Input:      s.prompt,
		Repeatable: standinapi.NewOptBool(true),
	})
}

func (e *Engine) completeLedgerEntry(s *sequence) {
	s.execution.Complete(strings.Join(s.tokens, ""))
}

// wakeRun wakes Run if it waits for work. It never blocks.
func (e *Engine) wakeRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
