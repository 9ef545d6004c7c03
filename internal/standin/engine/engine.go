// Package engine stands in for a model engine: it batches continuously, caches
// prompt prefixes, honours priorities, resumes and cancels streams, and takes
// orders to load models.
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

// batchSlope is the share by which a step of a full batch is slower than one of
// a single sequence.
const fullBatchSlowdown = 1.0

// Config holds the settings of an Engine.
type Config struct {
	// Control is the endpoint that sets faults; it is required.
	Control *control.Control
	// Capacity is the largest batch, DefaultCapacity when zero.
	Capacity int
	// MaxQueue is the number of completions that wait, DefaultMaxQueue when
	// zero.
	MaxQueue int
	// TokenTime is the time of a step with one sequence, DefaultTokenTime when
	// zero.
	TokenTime time.Duration
	// PrefillTimePerByte is the time to take in one byte of a prompt that is not
	// cached, DefaultPrefillByte when zero.
	PrefillTimePerByte time.Duration
	// CacheBlocks bounds the prefix cache, DefaultCacheBlocks when zero.
	CacheBlocks int
	// ResumeTimeout is how long a completion without a reader can be resumed,
	// DefaultHold when zero.
	ResumeTimeout time.Duration
	// Models are those held at the start.
	Models []string
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Weights is the weight store; without it models load at once.
	Weights *platformapi.Client
	// Seed is the seed of the gaps in cache events.
	Seed uint64
}

// Engine completes prompts. It is safe for concurrent use; Run must be called
// for completions to make progress.
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
	lastArrival uint64
	queue       queue
	batch       []*sequence
	sequences   map[string]*sequence
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

func (e *Engine) wakeRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
