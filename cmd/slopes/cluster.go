package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/peer"
	"sequoiafork/internal/wire/peerpb"
)

const (
	dataCentres = 10
	regions     = 3
	// pollInterval is the interval at which await checks a daemon's state.
	pollInterval = 10 * time.Millisecond
	// pollTimeout limits how long await waits.
	pollTimeout = time.Minute
)

// daemon runs the peer protocol of one daemon. Of the log it stores only the next offset.
type daemon struct {
	table *membership.Table
	node  *peer.Node

	mu   sync.Mutex
	next uint64
}

// NextOffset implements peer.Records.
func (d *daemon) NextOffset() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.next
}

// CatchUp implements peer.Records.
func (d *daemon) CatchUp(context.Context, uint64) (*peerpb.CatchUpResponse, error) {
	return &peerpb.CatchUpResponse{
		NextOffset: d.NextOffset(),
	}, nil
}

// Deliver implements peer.Records.
func (d *daemon) Deliver(records []*peerpb.LogRecord) {
	d.mu.Lock()
	for _, r := range records {
		if r.GetOffset() == d.next {
			d.next++
		}
	}
	next := d.next
	d.mu.Unlock()
	d.table.SetProgress(next, next)
	d.node.Publish(records)
}

// cluster is a set of daemons in this process.
type cluster struct {
	daemons []*daemon
	cancel  context.CancelFunc
	group   *errgroup.Group
}

func startCluster(ctx context.Context, n int) (*cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{
		cancel: cancel,
		group:  &errgroup.Group{},
	}
	var seeds []string
	for i := range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return c, err
		}
		d := newDaemon(i, lis, seeds)
		c.daemons = append(c.daemons, d)
		c.group.Go(func() error {
			return d.node.Serve(ctx)
		})
		if len(seeds) < 3 {
			seeds = append(seeds, lis.Addr().String())
		}
	}
	return c, nil
}

func newDaemon(i int, lis net.Listener, seeds []string) *daemon {
	addr := lis.Addr().String()
	d := &daemon{}
	d.table = membership.New(membership.Config{
		Self: membership.Member{
			Incarnation:  fmt.Sprintf("%s/%016x", addr, uint64(i+1)*0x9e3779b97f4a7c15),
			PeerAddr:     addr,
			CallerAddr:   addr,
			OperatorAddr: addr,
			DataCentre:   fmt.Sprintf("region-%d/dc-%d", i%dataCentres%regions, i%dataCentres),
		},
		Seeds:    seeds,
		RandSeed: uint64(i),
	})
	d.node = peer.New(peer.Config{
		Listener:   lis,
		Table:      d.table,
		LogReplica: d,
	})
	return d
}

func (c *cluster) stop() error {
	c.cancel()
	return c.group.Wait()
}

// await polls until every daemon has met a condition and returns how long that took.
// The state describes the condition in the error.
func (c *cluster) await(state string, met func(d *daemon) bool) (time.Duration, error) {
	begin := time.Now()
	for i := 0; i < len(c.daemons); {
		if met(c.daemons[i]) {
			i++
			continue
		}
		if time.Since(begin) > pollTimeout {
			return 0, fmt.Errorf("%s: daemon %d did not reach this state within %v", state, i, pollTimeout)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(begin), nil
}

// awaitMembership waits until every daemon counts all members of the cluster.
func (c *cluster) awaitMembership() (time.Duration, error) {
	return c.await("complete membership", func(d *daemon) bool {
		alive, leaving := d.table.Count()
		return alive+leaving == len(c.daemons)
	})
}

func (c *cluster) traffic() (in, out uint64) {
	for _, d := range c.daemons {
		i, o := d.node.Traffic()
		in += i
		out += o
	}
	return in, out
}

func (c *cluster) links() int {
	n := 0
	for _, d := range c.daemons {
		n += len(d.table.LinkedMembers())
	}
	return n
}
