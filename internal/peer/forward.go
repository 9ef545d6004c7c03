package peer

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	grpcpeer "google.golang.org/grpc/peer"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/wire/peerpb"
)

// CallError is a call to a peer that failed.
type CallError struct {
	// Addr is the peer's address.
	Addr string
	// MaybeSent says that the peer may have taken the call. False is a promise that it
	// did not.
	MaybeSent bool
	Err       error
}

// Error says which peer failed, whether it may have taken the call, and why.
func (e *CallError) Error() string {
	if e.MaybeSent {
		return fmt.Sprintf("peer: call to %s may have been taken: %v", e.Addr, e.Err)
	}
	return fmt.Sprintf("peer: call to %s not sent: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

var errNotConnected = errors.New("no connection")

// Forward hands a request to the process incarnation that owns its key. The answer
// has WrongOwner set when another incarnation runs there. An error is a *CallError.
func (n *Node) Forward(ctx context.Context, m membership.Member, req *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error) {
	conn, err := n.conn(ctx, m.PeerAddr)
	if err != nil {
		return nil, &CallError{
			Addr: m.PeerAddr,
			Err:  err,
		}
	}
	var reached grpcpeer.Peer
	resp, err := peerpb.NewPeerClient(conn).Forward(ctx, req, grpc.Peer(&reached))
	if err != nil {
		return nil, &CallError{
			Addr:      m.PeerAddr,
			MaybeSent: reached.Addr != nil,
			Err:       err,
		}
	}
	return resp, nil
}

// ShowKey asks the process incarnation that owns a key what became of it. An error is
// a *CallError.
func (n *Node) ShowKey(ctx context.Context, m membership.Member, req *peerpb.ShowKeyRequest) (*peerpb.ShowKeyResponse, error) {
	conn, err := n.conn(ctx, m.PeerAddr)
	if err != nil {
		return nil, &CallError{
			Addr: m.PeerAddr,
			Err:  err,
		}
	}
	var reached grpcpeer.Peer
	resp, err := peerpb.NewPeerClient(conn).ShowKey(ctx, req, grpc.Peer(&reached))
	if err != nil {
		return nil, &CallError{
			Addr:      m.PeerAddr,
			MaybeSent: reached.Addr != nil,
			Err:       err,
		}
	}
	return resp, nil
}

// conn returns the connection for calls to an address, and makes it ready.
func (n *Node) conn(ctx context.Context, addr string) (*grpc.ClientConn, error) {
	n.mu.Lock()
	c, ok := n.conns[addr]
	if !ok {
		var err error
		c, err = n.newConn(addr)
		if err != nil {
			n.mu.Unlock()
			return nil, err
		}
		n.conns[addr] = c
	}
	n.mu.Unlock()
	return c, n.awaitReady(ctx, c, addr)
}

// awaitReady waits until a connection is up, or a try to make it has failed.
func (n *Node) awaitReady(ctx context.Context, c *grpc.ClientConn, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.DialTimeout)
	defer cancel()
	failedBefore := c.GetState() == connectivity.TransientFailure
	for {
		st := c.GetState()
		switch st {
		case connectivity.Ready:
			return nil
		case connectivity.Shutdown:
			return fmt.Errorf("dial %s: %w", addr, errNotConnected)
		case connectivity.Idle:
			c.Connect()
		case connectivity.TransientFailure:
			if !failedBefore {
				return fmt.Errorf("dial %s: %w", addr, errNotConnected)
			}
			failedBefore = false
			c.ResetConnectBackoff()
		}
		if !c.WaitForStateChange(ctx, st) {
			return fmt.Errorf("dial %s: %w", addr, context.Cause(ctx))
		}
	}
}
