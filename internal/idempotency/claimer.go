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
	// maxBatch is the number of claims in one append.
	maxBatch = 512
	// appendTimeout bounds one append; past it the append may still happen.
	appendTimeout = 2 * time.Second
	// refusedRetry is when to come back if the log does not say.
	minRetryAfter = 2 * time.Second
)

var (
	claimsTotal  = metrics.GetOrCreateCounter("sequoiafork_claims_total")
	claimAppends = metrics.GetOrCreateCounter("sequoiafork_claim_appends_total")
)

// NotClaimedError means that a claim was certainly not appended.
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

// StateMachine is the folded log. See fold.StateMachine.
type StateMachine interface {
	Claim(key [32]byte) (fold.Claim, bool)
	Wait(ctx context.Context, next uint64) error
}

// LogClaimer claims keys on the log, all that wait in one append. It is safe for
// concurrent use.
type LogClaimer struct {
	self        string
	log         Log
	machine     StateMachine
	waitCurrent func(ctx context.Context) error

	mu      sync.Mutex
	waiting []*pendingClaim
	wake    chan struct{}
}

type pendingClaim struct {
	claim fold.Claim
	// appended is closed once the append has ended; offset and err are set then.
	appended chan struct{}
	offset   uint64
	err      error
}

// NewLogClaimer returns a claimer for the incarnation self. Its Run must be running.
// current returns nil once the machine has folded all that any process can have
// acted on before the call.
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

// Claim implements Claimer. The owner is the one that the log names first, also
// if this process's own append lost its reply.
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
	var refused *logservice.RefusedError
	if errors.As(pending.err, &refused) {
		return Owner{}, &NotClaimedError{
			RetryAfter: max(refused.RetryAfter, minRetryAfter),
			Err:        pending.err,
		}
	}
	return c.readBack(ctx, pending)
}

// readBack waits until the fold has a claim of the key. With an unknown append it
// waits for each further record until the key appears or ctx ends.
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
			return Owner{}, fmt.Errorf("claim at offset %d is not in the folded log", p.offset)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return Owner{}, fmt.Errorf("settling a claim whose append has no reply: %w", errors.Join(ctx.Err(), p.err))
		}
	}
}

func (c *LogClaimer) enqueue(p *pendingClaim) {
	c.mu.Lock()
	c.waiting = append(c.waiting, p)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// withdraw takes p out of the queue and reports whether it was still in it.
func (c *LogClaimer) withdraw(p *pendingClaim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, q := range c.waiting {
		if q == p {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Run appends claims until ctx ends. Those that arrive while the budget is waited for
// or another append is under way go into one append together.
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
		c.appendWaiting(ctx)
	}
}

func (c *LogClaimer) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting) == 0
}

func (c *LogClaimer) takeBatch() []*pendingClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.waiting), maxBatch)
	batch := c.waiting[:n:n]
	c.waiting = append([]*pendingClaim(nil), c.waiting[n:]...)
	return batch
}

func (c *LogClaimer) appendWaiting(ctx context.Context) {
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
