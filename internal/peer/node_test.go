package peer

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/streamorigin"
	"sequoiafork/internal/wire/peerpb"
)

const waitTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testNode is a node with an in-memory log replica. It echoes forwarded requests.
type testNode struct {
	node  *Node
	table *membership.Table
	stop  func()

	mu      sync.Mutex
	records []*peerpb.LogRecord
	topic   topicResponse
	origins *streamorigin.Table
}

func (n *testNode) NextOffset() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return uint64(len(n.records))
}

func (n *testNode) Deliver(records []*peerpb.LogRecord) {
	n.mu.Lock()
	for _, r := range records {
		if r.GetOffset() == uint64(len(n.records)) {
			n.records = append(n.records, r)
		}
	}
	next := uint64(len(n.records))
	n.mu.Unlock()
	n.table.SetProgress(next, next)
	n.node.Publish(records)
}

func (n *testNode) CatchUp(_ context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &peerpb.CatchUpResponse{
		Records:    n.records[from:],
		NextOffset: uint64(len(n.records)),
	}, nil
}

func (n *testNode) Forward(_ context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error) {
	return &peerpb.ForwardResponse{
		Status:  200,
		Outcome: req.GetBody(),
	}, nil
}

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	return lis
}

// startNode runs a node on lis that advertises addr.
func startNode(t *testing.T, lis net.Listener, addr, id string, seeds ...string) *testNode {
	t.Helper()
	return startNodeWith(t, lis, addr, id, nil, seeds...)
}

// startNodeWith runs a node that does stage work for its peers.
func startNodeWith(t *testing.T, lis net.Listener, addr, id string, worker StageWorker, seeds ...string) *testNode {
	t.Helper()
	n := &testNode{
		origins: streamorigin.New(streamorigin.Config{}),
	}
	n.table = membership.New(membership.Config{
		Self: membership.Member{
			Incarnation: addr + "/" + id,
			PeerAddr:    addr,
			CallerAddr:  addr,
			DataCentre:  "a",
		},
		Seeds:             seeds,
		HeartbeatInterval: 100 * time.Millisecond,
		HeartbeatTimeout:  time.Second,
		UnreachableAfter:  2 * time.Second,
		ProbeInterval:     500 * time.Millisecond,
	})
	n.node = New(Config{
		Listener:    lis,
		Table:       n.table,
		LogReplica:  n,
		Forwarder:   n,
		StageWorker: worker,
		Topics:      n,
		Origins:     n.origins,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- n.node.Serve(ctx)
	}()
	n.stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
	})
	t.Cleanup(n.stop)
	return n
}

// startNodes runs nodes with the first one as their seed, and waits until each is linked
// to all others.
func startNodes(t *testing.T, count int) []*testNode {
	t.Helper()
	nodes := make([]*testNode, count)
	for i := range nodes {
		lis := listen(t, "127.0.0.1:0")
		seeds := []string{}
		if i > 0 {
			seeds = append(seeds, nodes[0].table.Self().PeerAddr)
		}
		nodes[i] = startNode(t, lis, lis.Addr().String(), strconv.Itoa(i), seeds...)
	}
	requireLinks(t, nodes, count-1)
	return nodes
}

func requireLinks(t *testing.T, nodes []*testNode, links int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if len(n.table.LinkedMembers()) != links {
				return false
			}
		}
		return true
	}, waitTimeout, 20*time.Millisecond, "each of %d nodes gets %d links", len(nodes), links)
}

func requireState(t *testing.T, n *testNode, inc string, want membership.State) {
	t.Helper()
	require.Eventually(t, func() bool {
		m, ok := n.table.Lookup(inc)
		return ok && m.State == want
	}, waitTimeout, 20*time.Millisecond, "%s becomes %v", inc, want)
}

// TestLinksAndRestart restarts a node at the same address: the old incarnation must become
// dead and the new one alive.
func TestLinksAndRestart(t *testing.T) {
	nodes := startNodes(t, 4)
	old := nodes[3].table.Self()
	nodes[3].stop()
	requireState(t, nodes[1], old.Incarnation, membership.Dead)
	nodes[3] = startNode(t, listen(t, old.PeerAddr), old.PeerAddr, "again", nodes[0].table.Self().PeerAddr)
	requireLinks(t, nodes, 3)
	requireState(t, nodes[1], old.PeerAddr+"/again", membership.Alive)
	requireState(t, nodes[1], old.Incarnation, membership.Dead)
}

func TestDrainingMemberNotResolved(t *testing.T) {
	nodes := startNodes(t, 3)
	nodes[2].table.SetLeaving()
	requireState(t, nodes[1], nodes[2].table.Self().Incarnation, membership.Leaving)
	addrs, _ := nodes[1].table.Resolve("caller", "a")
	require.NotContains(t, addrs, nodes[2].table.Self().CallerAddr)
}

func TestForward(t *testing.T) {
	nodes := startNodes(t, 2)
	owner := nodes[1].table.Self()
	req := &peerpb.ForwardRequest{
		Owner: owner.Incarnation,
		Body:  make([]byte, 8<<20),
	}
	resp, err := nodes[0].node.Forward(t.Context(), owner, req)
	require.NoError(t, err)
	require.Len(t, resp.GetOutcome(), len(req.GetBody()))

	req.Owner += "-earlier"
	resp, err = nodes[0].node.Forward(t.Context(), owner, req)
	require.NoError(t, err)
	require.True(t, resp.GetWrongOwner())
	require.Empty(t, resp.GetOutcome())

	nodes[1].stop()
	_, err = nodes[0].node.Forward(t.Context(), owner, req)
	var call *CallError
	require.True(t, errors.As(err, &call), "%v is a *CallError", err)
	require.False(t, call.MaybeSent, "nothing listens at %s: %v", call.Addr, err)
}

// TestRecordsReachNodeCutFromLog checks that a node that reads no log gets the records
// from its neighbours.
func TestRecordsReachNodeCutFromLog(t *testing.T) {
	nodes := startNodes(t, 3)
	records := make([]*peerpb.LogRecord, 5)
	for i := range records {
		records[i] = &peerpb.LogRecord{
			Offset: uint64(i),
			Data:   []byte{byte(i)},
		}
	}
	nodes[0].Deliver(records)
	nodes[1].Deliver(records)
	require.Eventually(t, func() bool {
		return nodes[2].NextOffset() == 5
	}, waitTimeout, 20*time.Millisecond, "the node that reads no log gets the records")
	require.Eventually(t, func() bool {
		have, of := nodes[0].table.CountApplied(5)
		return have == 3 && of == 3
	}, waitTimeout, 20*time.Millisecond, "node 0 learns that every node has applied revision 5")
	resp, err := nodes[2].node.CatchUp(t.Context(), 3)
	require.NoError(t, err)
	require.Len(t, resp.GetRecords(), 2)
}

// relay forwards connections. While stalled it drops all data and keeps the connections
// open.
type relay struct {
	lis     net.Listener
	target  string
	mu      sync.Mutex
	stalled bool
	conns   []net.Conn
	wg      sync.WaitGroup
}

func startRelay(t *testing.T, target string) *relay {
	r := &relay{
		lis:    listen(t, "127.0.0.1:0"),
		target: target,
	}
	r.wg.Go(func() {
		for {
			c, err := r.lis.Accept()
			if err != nil {
				return
			}
			r.pair(c)
		}
	})
	t.Cleanup(func() {
		_ = r.lis.Close()
		r.mu.Lock()
		for _, c := range r.conns {
			_ = c.Close()
		}
		r.mu.Unlock()
		r.wg.Wait()
	})
	return r
}

func (r *relay) pair(c net.Conn) {
	d, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, c, d)
	r.mu.Unlock()
	r.wg.Go(func() { r.copy(c, d) })
	r.wg.Go(func() { r.copy(d, c) })
}

func (r *relay) copy(dst, src net.Conn) {
	defer dst.Close()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if r.isStalled() {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// reset closes all connections at once.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

func (r *relay) isStalled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalled
}

func (r *relay) stall(on bool) {
	r.mu.Lock()
	r.stalled = on
	r.mu.Unlock()
}

// TestHalfOpen drops all data on connections that stay open: the peer must be declared
// dead and calls to it must fail, and both must recover with the network.
func TestHalfOpen(t *testing.T) {
	// Either node may dial the link, so there is a relay in front of both.
	lisA := listen(t, "127.0.0.1:0")
	lisB := listen(t, "127.0.0.1:0")
	relayA := startRelay(t, lisA.Addr().String())
	relayB := startRelay(t, lisB.Addr().String())
	b := startNode(t, lisB, relayB.lis.Addr().String(), "b")
	a := startNode(t, lisA, relayA.lis.Addr().String(), "a", relayB.lis.Addr().String())
	requireLinks(t, []*testNode{a, b}, 1)
	relayA.stall(true)
	relayB.stall(true)
	requireState(t, a, b.table.Self().Incarnation, membership.Dead)
	_, err := a.node.Forward(t.Context(), b.table.Self(), &peerpb.ForwardRequest{
		Owner: b.table.Self().Incarnation,
	})
	require.Error(t, err)
	relayA.stall(false)
	relayB.stall(false)
	requireLinks(t, []*testNode{a, b}, 1)
	requireState(t, a, b.table.Self().Incarnation, membership.Alive)
}

// ShowKey implements Forwarder.
func (n *testNode) ShowKey(_ context.Context, req *peerpb.ShowKeyRequest) (*peerpb.ShowKeyResponse, error) {
	return &peerpb.ShowKeyResponse{
		WrongOwner: req.GetOwner() != n.table.Self().Incarnation,
	}, nil
}
