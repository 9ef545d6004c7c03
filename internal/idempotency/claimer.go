package idempotency

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/logservice"
)

const (
	// maxBatchClaims is the maximum number of claims in one append.
	maxBatchClaims = 512
	// appendTimeout bounds one append. After a timeout the append may still happen.
	appendTimeout = 2 * time.Second
	// minRetryAfter is the minimum Retry-After delay, also used if the log gives none.
	minRetryAfter = 2 * time.Second
)

var (
	claimsTotal  = metrics.GetOrCreateCounter("sequoiafork_claims_total")
	claimAppends = metrics.GetOrCreateCounter("sequoiafork_claim_appends_total")
)

// NotClaimedError guarantees that a claim was not appended.
type NotClaimedError struct {
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *NotClaimedError) Error() string {
	return fmt.Sprintf("claim not appended: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NotClaimedError) Unwrap() error {
	return e.Err
}

// Log appends records. See logservice.Client.
type Log interface {
	WaitRateLimit(ctx context.Context) error
	AppendWithoutWait(ctx context.Context, data []byte) (uint64, error)
}

// StateMachine is the state that results from applying the log. See fold.StateMachine.
type StateMachine interface {
	Claim(key [32]byte) (fold.Claim, bool)
	Wait(ctx context.Context, next uint64) error
}

// LogClaimer claims keys on the log. It batches all pending claims into one append.
// It is safe for concurrent use.
type LogClaimer struct {
	self        string
	log         Log
	machine     StateMachine
	waitCurrent func(ctx context.Context) error

	mu    sync.Mutex
	queue []*pendingClaim
	wake  chan struct{}
}

type pendingClaim struct {
	claim fold.Claim
	// appended is closed once the append has ended; offset and err are set then.
	appended chan struct{}
	offset   uint64
	err      error
}

// NewLogClaimer returns a claimer for the incarnation self. Claims are appended only
// while Run is running. waitCurrent returns nil once the machine has applied every
// record that any process can have acted on before the call.
func NewLogClaimer(self string, log Log, machine StateMachine, waitCurrent func(ctx context.Context) error) *LogClaimer {
	return &LogClaimer{
		self:        self,
		log:         log,
		machine:     machine,
		waitCurrent: waitCurrent,
		wake:        make(chan struct{}, 1),
	}
}

// Lookup implements Claimer.
func (c *LogClaimer) Lookup(key KeyHash) (Owner, bool) {
	claim, ok := c.machine.Claim(key)
	return Owner{
		Incarnation: claim.Owner,
		RequestHash: claim.RequestHash,
	}, ok
}

// WaitCurrent implements Claimer.
func (c *LogClaimer) WaitCurrent(ctx context.Context) error {
	return c.waitCurrent(ctx)
}

// Claim implements Claimer. The owner is the incarnation of the first claim on the
// log, also if the response to this process's own append was lost.
func (c *LogClaimer) Claim(ctx context.Context, key KeyHash, hash RequestHash) (Owner, error) {
	pending := &pendingClaim{
		claim: fold.Claim{
			KeyHash:     key,
			RequestHash: hash,
			Owner:       c.self,
			TimeMs:      time.Now().UnixMilli(),
		},
		appended: make(chan struct{}),
	}
	c.enqueue(pending)
	select {
	case <-pending.appended:
	case <-ctx.Done():
		if c.withdraw(pending) {
			return Owner{}, &NotClaimedError{
				RetryAfter: minRetryAfter,
				Err:        ctx.Err(),
			}
		}
		return Owner{}, fmt.Errorf("waiting for the append of a claim: %w", ctx.Err())
	}
	var refused *logservice.RejectedError
	if errors.As(pending.err, &refused) {
		return Owner{}, &NotClaimedError{
			RetryAfter: max(refused.RetryAfter, minRetryAfter),
			Err:        pending.err,
		}
	}
	return c.readBack(ctx, pending)
}

// readBack waits until the state machine has applied a claim of the key. If the
// outcome of the append is unknown, it polls until the key appears or ctx ends.
func (c *LogClaimer) readBack(ctx context.Context, p *pendingClaim) (Owner, error) {
	const pollInterval = 20 * time.Millisecond
	if p.err == nil {
		if err := c.machine.Wait(ctx, p.offset+1); err != nil {
			return Owner{}, fmt.Errorf("waiting to read a claim back: %w", err)
		}
	}
	for {
		if owner, ok := c.Lookup(p.claim.KeyHash); ok {
			return owner, nil
		}
		if p.err == nil {
			return Owner{}, fmt.Errorf("claim at offset %d was not applied", p.offset)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return Owner{}, fmt.Errorf("resolving a claim whose append has an unknown outcome: %w", errors.Join(ctx.Err(), p.err))
		}
	}
}

func (c *LogClaimer) enqueue(p *pendingClaim) {
	c.mu.Lock()
	c.queue = append(c.queue, p)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// withdraw removes p from the queue and reports whether it was still queued.
func (c *LogClaimer) withdraw(p *pendingClaim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, q := range c.queue {
		if q == p {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Run appends claims until ctx ends. Claims that arrive while Run waits for the rate
// limit or for another append are batched into the next append.
func (c *LogClaimer) Run(ctx context.Context) error {
	for {
		if c.idle() {
			select {
			case <-c.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		c.appendQueued(ctx)
	}
}

func (c *LogClaimer) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0
}

func (c *LogClaimer) takeBatch() []*pendingClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), maxBatchClaims)
	batch := c.queue[:n:n]
	c.queue = append([]*pendingClaim(nil), c.queue[n:]...)
	return batch
}

func (c *LogClaimer) appendQueued(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, appendTimeout)
	defer stop()
	err := c.log.WaitRateLimit(ctx)
	batch := c.takeBatch()
	if len(batch) == 0 {
		return
	}
	var offset uint64
	if err == nil {
		offset, err = c.appendBatch(ctx, batch)
	}
	for _, p := range batch {
		p.offset = offset
		p.err = err
		close(p.appended)
	}
}

func (c *LogClaimer) appendBatch(ctx context.Context, batch []*pendingClaim) (uint64, error) {
	claims := make([]fold.Claim, len(batch))
	for i, p := range batch {
		claims[i] = p.claim
	}
	data, err := fold.EncodeClaims(claims)
	if err != nil {
		return 0, err
	}
	claimAppends.Inc()
	claimsTotal.Add(len(batch))
	return c.log.AppendWithoutWait(ctx, data)
}
