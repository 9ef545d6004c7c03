package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"sequoiafork/internal/membership"
)

const (
	// leavingCheckInterval is how often the upstreams that are marked as leaving are asked
	// whether they still are. Load reports are up to five seconds old.
	leavingCheckInterval = 3 * time.Second
	// leavingCheckTimeout bounds one question, and maxLeavingChecks is how many are in
	// progress at the same time.
	leavingCheckTimeout = time.Second
	maxLeavingChecks    = 8
)

// checkLeaving asks the upstreams that are marked as leaving, but are live on the host list,
// for their load until ctx is done. It clears the mark of those that take work again, such as a
// process that was restarted at its address.
func (d *Daemon) checkLeaving(ctx context.Context) error {
	ticker := time.NewTicker(leavingCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		var g errgroup.Group
		g.SetLimit(maxLeavingChecks)
		for _, u := range d.upstreams.Leaving() {
			g.Go(func() error {
				d.checkReturned(ctx, u.Addr)
				return nil
			})
		}
		_ = g.Wait() // The functions return no errors.
	}
}

// checkReturned asks one upstream for its load. One that does not answer keeps its mark.
func (d *Daemon) checkReturned(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, leavingCheckTimeout)
	defer cancel()
	load, err := d.services.Load(ctx, addr)
	if err != nil {
		d.logger.Debug("leaving upstream does not report its load", zap.String("upstream_addr", addr), zap.Error(err))
		return
	}
	if !d.upstreams.ObserveLoad(addr, *load) {
		return
	}
	d.logger.Info("upstream that was leaving takes work again", zap.String("upstream_addr", addr))
	d.members.ReportUpstream(addr, membership.UpstreamLive)
}
