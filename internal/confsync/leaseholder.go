package confsync

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/fold"
)

// Defaults of LeaseHolderConfig.
const (
	DefaultLeaseTTL = 10 * time.Second
	// defaultMarginDivisor makes the default margin a fifth of the TTL.
	defaultMarginDivisor = 5
	// renewDivisor makes the renewal interval a third of the TTL.
	renewDivisor = 3
	// releaseTimeout bounds the append of a release.
	releaseTimeout = 2 * time.Second
)

// LeaseHolderConfig configures a LeaseHolder.
type LeaseHolderConfig struct {
	Log     Log
	Machine *fold.StateMachine
	// Name is the lease's name. Holder identifies this incarnation, which is one run
	// of the process.
	Name   string
	Holder string
	// TTL is how long one grant lasts. Zero means DefaultLeaseTTL.
	TTL time.Duration
	// Margin is how long before the end of a grant the holder stops relying on it, to
	// allow for clocks that run at different rates. Zero means a fifth of TTL.
	Margin time.Duration
	Logger *zap.Logger
}

// LeaseHolder acquires, renews and releases a named lease. It is safe for concurrent
// use.
type LeaseHolder struct {
	config  LeaseHolderConfig
	machine *fold.StateMachine

	// opMu serializes Acquire and Release.
	opMu sync.Mutex

	mu   sync.Mutex
	term leaseTerm
	// otherLease is the latest lease of another holder, which may last until
	// otherLeaseUntil.
	otherLease      fold.Lease
	otherLeaseUntil time.Time
}

// NewLeaseHolder returns a holder that does not hold the lease yet.
func NewLeaseHolder(c LeaseHolderConfig) *LeaseHolder {
	c.TTL = cmp.Or(c.TTL, DefaultLeaseTTL)
	c.Margin = cmp.Or(c.Margin, c.TTL/defaultMarginDivisor)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &LeaseHolder{
		config:  c,
		machine: c.Machine,
	}
}

// Held returns the fencing token of the lease, and reports whether it is certainly held
// now.
func (l *LeaseHolder) Held() (fencingToken uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term.fencingToken == 0 || !time.Now().Before(l.term.validUntil) {
		return 0, false
	}
	return l.term.fencingToken, true
}

// Acquire tries once to acquire the lease, or to renew it if the log has granted it to
// this holder, and reports whether it is held. An error means that the append isn't known
// to have taken effect; Held reports whether the lease is still held.
func (l *LeaseHolder) Acquire(ctx context.Context) (bool, error) {
	l.opMu.Lock()
	defer l.opMu.Unlock()
	if l.heldByOther() {
		return false, nil
	}
	own, _ := l.ownLease()
	if err := l.appendGrant(ctx, own.FencingToken); err != nil {
		return false, err
	}
	_, ok := l.Held()
	return ok, nil
}

// Release releases the lease. The holder stops relying on it at once, even if the
// append fails.
func (l *LeaseHolder) Release(ctx context.Context) error {
	l.opMu.Lock()
	defer l.opMu.Unlock()
	l.mu.Lock()
	l.term = leaseTerm{}
	l.mu.Unlock()
	own, ok := l.ownLease()
	if !ok {
		return nil
	}
	data, err := fold.EncodeLease(fold.LeaseRequest{
		Name:         l.config.Name,
		Holder:       l.config.Holder,
		FencingToken: own.FencingToken,
		Release:      true,
	})
	if err != nil {
		return err
	}
	_, err = l.config.Log.Append(ctx, data)
	return err
}

// appendGrant appends a request for the lease and waits to read it back. A fencing token
// of zero requests a new lease term.
func (l *LeaseHolder) appendGrant(ctx context.Context, fencingToken uint64) error {
	data, err := fold.EncodeLease(fold.LeaseRequest{
		Name:         l.config.Name,
		Holder:       l.config.Holder,
		TTL:          l.config.TTL,
		FencingToken: fencingToken,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.TTL)
	defer cancel()
	start := time.Now()
	offset, err := l.config.Log.Append(ctx, data)
	if err != nil {
		return err
	}
	if err := l.machine.Wait(ctx, offset+1); err != nil {
		return err
	}
	l.recordGrant(offset, fencingToken, start)
	return nil
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (l *LeaseHolder) Run(ctx context.Context) error {
	for {
		if err := l.acquireIfReady(ctx); err != nil && ctx.Err() == nil {
			l.config.Logger.Warn("lease not acquired or renewed", zap.String("lease", l.config.Name), zap.Error(err))
		}
		if err := sleep(ctx, l.config.TTL/renewDivisor); err != nil {
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			return errors.Join(err, l.Release(releaseCtx))
		}
	}
}

func (l *LeaseHolder) acquireIfReady(ctx context.Context) error {
	if !l.machine.Ready() {
		return nil
	}
	_, err := l.Acquire(ctx)
	return err
}
