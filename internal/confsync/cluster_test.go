package confsync_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sequoiafork/internal/confsync"
	"sequoiafork/internal/fold"
	"sequoiafork/internal/wire/peerpb"
)

const (
	leaseName = "placement"
	leaseTTL  = 6 * time.Second
	peerDelay = time.Millisecond
	// responseDelay delays the catch-up responses of peers, so that they are stale.
	responseDelay = 700 * time.Millisecond
)

// cluster is a set of daemons that share one log.
type cluster struct {
	ctx     context.Context
	log     *fakeLog
	daemons []*daemon
}

// daemon is one entry host. A restart replaces its process.
type daemon struct {
	name    string
	cluster *cluster
	link    *link

	mu       sync.Mutex
	cutPeers bool
	proc     *process
}

// process is one incarnation of a daemon. It starts with an empty state.
type process struct {
	name        string
	machine     *fold.StateMachine
	syncer      *confsync.Syncer
	editor      *confsync.Editor
	leaseHolder *confsync.LeaseHolder
	stop        context.CancelFunc
	wg          sync.WaitGroup
}

func newCluster(ctx context.Context, n int, base uint64) *cluster {
	c := &cluster{
		ctx: ctx,
		log: newFakeLog(base),
	}
	for i := range n {
		c.daemons = append(c.daemons, &daemon{
			name:    fmt.Sprintf("d%d", i),
			cluster: c,
			link: &link{
				log: c.log,
			},
		})
	}
	for _, d := range c.daemons {
		d.start(0)
	}
	return c
}

func (c *cluster) stop() {
	for _, d := range c.daemons {
		d.kill()
	}
}

// start starts a new process.
func (d *daemon) start(incarnation int) {
	p := &process{
		name:    fmt.Sprintf("%s/%d", d.name, incarnation),
		machine: fold.New(fold.Config{}),
	}
	p.syncer = confsync.NewSyncer(confsync.SyncerConfig{
		Log:                  d.link,
		Machine:              p.machine,
		Peers:                d,
		OnApplied:            d.forward,
		Writer:               p.name,
		Seed:                 uint64(incarnation)<<8 + uint64(d.name[1]),
		SnapshotEveryRecords: 30,
		SnapshotDelay:        2 * time.Second,
		SnapshotMaxAge:       2 * time.Minute,
	})
	p.editor = confsync.NewEditor(confsync.EditorConfig{
		Log:     d.link,
		Machine: p.machine,
	})
	p.leaseHolder = confsync.NewLeaseHolder(confsync.LeaseHolderConfig{
		Log:     d.link,
		Machine: p.machine,
		Name:    leaseName,
		Holder:  p.name,
		TTL:     leaseTTL,
	})
	d.mu.Lock()
	d.proc = p
	d.mu.Unlock()
	ctx, cancel := context.WithCancel(d.cluster.ctx)
	p.stop = cancel
	p.wg.Go(func() { _ = p.syncer.Run(ctx) })
	p.wg.Go(func() { _ = p.leaseHolder.Run(ctx) })
}

// process returns the current process.
func (d *daemon) process() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.proc
}

// kill stops the process. The link to the log is cut first, so that the process appends
// nothing more.
func (d *daemon) kill() {
	cut := d.link.isCut()
	d.link.setCut(true)
	p := d.process()
	p.stop()
	p.wg.Wait()
	d.link.setCut(cut)
}

func (d *daemon) setCutPeers(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutPeers = cut
}

func (d *daemon) hasPeers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.cutPeers
}

// forward sends records to all reachable peers.
func (d *daemon) forward(records []*peerpb.LogRecord) {
	if !d.hasPeers() {
		return
	}
	for _, p := range d.cluster.daemons {
		if p == d || !p.hasPeers() {
			continue
		}
		time.AfterFunc(peerDelay, func() { p.process().syncer.Deliver(records) })
	}
}

// CatchUp requests records from the ready, reachable peer that has applied the most.
func (d *daemon) CatchUp(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	time.Sleep(peerDelay)
	var best *daemon
	for _, p := range d.cluster.daemons {
		if p == d || !p.hasPeers() || !d.hasPeers() || !p.process().machine.Ready() {
			continue
		}
		if best == nil || p.process().machine.NextOffset() > best.process().machine.NextOffset() {
			best = p
		}
	}
	if best == nil {
		return nil, errCut
	}
	resp, err := best.process().syncer.CatchUp(ctx, from)
	time.Sleep(responseDelay)
	return resp, err
}

// canReceive reports whether the daemon can currently obtain the record at an offset:
// from the log, if the records after its state are retained, or from a peer that has it.
func (d *daemon) canReceive(offset uint64) bool {
	if d.readsLog() && d.process().machine.NextOffset() >= d.cluster.log.firstRetained() {
		return true
	}
	return d.hasPeers() && d.cluster.readyPeerHas(d, offset)
}

func (d *daemon) readsLog() bool {
	return !d.link.isCut() && !d.cluster.log.isDown()
}

// readyPeerHas reports whether another daemon that is ready and reachable for peers has
// applied the record at an offset.
func (c *cluster) readyPeerHas(d *daemon, offset uint64) bool {
	for _, p := range c.daemons {
		m := p.process().machine
		if p != d && p.hasPeers() && m.Ready() && m.NextOffset() > offset {
			return true
		}
	}
	return false
}
