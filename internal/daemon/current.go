package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sequoiafork/internal/wire/peerpb"
)

// currentTimeout bounds one check of whether the fold is current.
const checkTimeout = 400 * time.Millisecond

// errNotReady means that this process has no whole state of the log yet.
var errNotReady = errors.New("the folded log is not complete")

// currency makes checks of whether the fold is current. Callers that come while one
// check runs share the next one, because a check speaks only for what was claimed
// before it began.
type freshnessChecker struct {
	check func(ctx context.Context) error

	mu      sync.Mutex
	running *freshnessCheck
	next    *freshnessCheck
}

type freshnessCheck struct {
	done chan struct{}
	err  error
}

// wait returns the result of a check that begins after the call.
func (c *freshnessChecker) wait(ctx context.Context) error {
	run := c.join()
	select {
	case <-run.done:
		return run.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *freshnessChecker) join() *freshnessCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &freshnessCheck{
			done: make(chan struct{}),
		}
		if c.running == nil {
			run := c.next
			c.running, c.next = run, nil
			go c.runChecks(run)
			return run
		}
	}
	return c.next
}

// loop makes checks for as long as somebody waits for the next one.
func (c *freshnessChecker) runChecks(run *freshnessCheck) {
	for run != nil {
		ctx, stop := context.WithTimeout(context.Background(), checkTimeout)
		run.err = c.check(ctx)
		stop()
		close(run.done)
		c.mu.Lock()
		run = c.next
		c.running, c.next = run, nil
		c.mu.Unlock()
	}
}

// checkCurrent returns nil once this process has folded every record that any
// process can have acted on before the call: all that the log holds, or, while the
// log can't be read, all that any known process has folded.
func (d *Daemon) checkFresh(ctx context.Context) error {
	readCtx, stop := context.WithTimeout(ctx, checkTimeout/2)
	defer stop()
	batch, err := d.log.Read(readCtx, d.machine.NextOffset(), 0, 0)
	if err == nil {
		records := make([]*peerpb.LogRecord, len(batch.Records))
		for i, r := range batch.Records {
			records[i] = &peerpb.LogRecord{
				Offset: r.Offset,
				TimeMs: r.TimeMs,
				Data:   r.Data,
			}
		}
		d.syncer.Deliver(records)
		return d.waitReady(ctx, batch.EndOffset)
	}
	return d.catchUpWithMembers(ctx)
}

// waitReady waits until the fold is whole and has reached an offset.
func (d *Daemon) waitReady(ctx context.Context, next uint64) error {
	if err := d.machine.Wait(ctx, next); err != nil {
		return err
	}
	if !d.machine.Ready() {
		return errNotReady
	}
	return nil
}

// reachMembers folds what each known process has folded. A process that does not
// answer may have acted on a record that nobody else has.
func (d *Daemon) catchUpWithMembers(ctx context.Context) error {
	if !d.machine.Ready() {
		return errNotReady
	}
	self := d.members.Self().Incarnation
	var mu sync.Mutex
	var maxOffset uint64
	g, ctx := errgroup.WithContext(ctx)
	for _, m := range d.members.Members() {
		if m.Incarnation == self {
			continue
		}
		g.Go(func() error {
			next, err := d.node.Offset(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			maxOffset = max(maxOffset, next)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("asking every daemon how far it has folded: %w", err)
	}
	return d.catchUpTo(ctx, maxOffset)
}

func (d *Daemon) catchUpTo(ctx context.Context, next uint64) error {
	if d.machine.NextOffset() >= next {
		return nil
	}
	resp, err := d.node.CatchUp(ctx, d.machine.NextOffset())
	if err != nil {
		return err
	}
	d.syncer.Deliver(resp.GetRecords())
	return d.machine.Wait(ctx, next)
}
