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

// checkTimeout bounds one check that the applied state is up to date.
const checkTimeout = 400 * time.Millisecond

// errNotReady means that this daemon has not built the complete state from the log yet.
var errNotReady = errors.New("the state built from the log is not complete")

// checkFresh returns nil once this daemon has applied every record that any daemon can have
// acted on before the call: all that the log holds, or, while the log can't be read, all
// that any known daemon has applied.
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

// waitReady waits until all records before offset next are applied, and returns
// errNotReady if the state is not complete then.
func (d *Daemon) waitReady(ctx context.Context, next uint64) error {
	if err := d.machine.Wait(ctx, next); err != nil {
		return err
	}
	if !d.machine.Ready() {
		return errNotReady
	}
	return nil
}

// catchUpWithMembers applies every record that any known daemon has applied. It fails if a
// daemon does not respond, since that one may have acted on a record that no other daemon
// has.
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
		return fmt.Errorf("reading the log offset of every daemon: %w", err)
	}
	return d.catchUpTo(ctx, maxOffset)
}

// catchUpTo applies the records before offset next, which it reads from peers.
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
