package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/wire/peerpb"
)

// panicking panics at every call and message.
type panicking struct{}

func (panicking) NextOffset() uint64 { return 0 }

func (panicking) CatchUp(context.Context, uint64) (*peerpb.CatchUpResponse, error) { panic("fault") }

func (panicking) Deliver([]*peerpb.LogRecord) { panic("fault") }

func (panicking) Submit(stagework.Job) (*stagework.SubmittedJob, error) { panic("fault") }

// servePanicking runs a node whose handlers panic.
func servePanicking(t *testing.T) (*Node, membership.Member) {
	t.Helper()
	lis := listen(t, "127.0.0.1:0")
	m := memberAt(lis.Addr().String())
	n := New(Config{
		Listener: lis,
		Table: membership.New(membership.Config{
			Self: m,
		}),
		LogReplica:  panicking{},
		StageWorker: panicking{},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return n, m
}

// newCaller returns a node that only makes calls.
func newCaller(t *testing.T) *Node {
	t.Helper()
	n := New(Config{})
	t.Cleanup(func() {
		for _, c := range n.conns {
			_ = c.Close()
		}
	})
	return n
}

// TestPanicInACallFailsOnlyTheCall guards against a process that ends because the handler of one call from a peer
// panics, which the gRPC server does not recover from.
func TestPanicInACallFailsOnlyTheCall(t *testing.T) {
	_, m := servePanicking(t)
	n := newCaller(t)
	_, err := n.catchUpFrom(t.Context(), m.PeerAddr, 0)
	require.Equal(t, codes.Internal, status.Code(err), "%v", err)
	_, err = n.Offset(t.Context(), m)
	require.NoError(t, err)
}

// TestPanicOnAJobFailsTheJob guards against a job on which one owner after the other panics, because its submitter
// takes a failed call for an unreachable owner.
func TestPanicOnAJobFailsTheJob(t *testing.T) {
	_, m := servePanicking(t)
	_, err := newCaller(t).StageWork(t.Context(), m, stagework.Job{}, waitTimeout)
	var failed *stagework.FailedError
	require.ErrorAs(t, err, &failed)
}

// TestPanicOnAMessageOfALink guards against a process that ends because the handling of one message of a link panics.
// The link goes on.
func TestPanicOnAMessageOfALink(t *testing.T) {
	served, m := servePanicking(t)
	n := newCaller(t)
	conn, err := n.conn(t.Context(), m.PeerAddr)
	require.NoError(t, err)
	s, err := peerpb.NewPeerClient(conn).Link(t.Context())
	require.NoError(t, err)
	require.NoError(t, s.Send(&peerpb.LinkMessage{
		Records: []*peerpb.LogRecord{
			{},
		},
	}))
	const incarnation = "127.0.0.1:1/peer"
	require.NoError(t, s.Send(&peerpb.LinkMessage{
		Heartbeat: &peerpb.Heartbeat{
			Incarnation: incarnation,
		},
	}))
	require.Eventually(t, func() bool {
		links := served.openLinks()
		return len(links) == 1 && links[0].member.Peer() == incarnation
	}, waitTimeout, 10*time.Millisecond)
	require.NoError(t, s.CloseSend())
}
