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

// CallError reports a failed call to a peer.
type CallError struct {
	// Addr is the peer's address.
	Addr string
	// MaybeSent reports whether the peer may have received the call. False guarantees
	// that it has not.
	MaybeSent bool
	Err       error
}

// Error returns the peer's address, whether it may have received the call, and the cause.
func (e *CallError) Error() string {
	if e.MaybeSent {
		return fmt.Sprintf("peer: call to %s failed, the peer may have received it: %v", e.Addr, e.Err)
	}
	return fmt.Sprintf("peer: call to %s was not sent: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

var errNotConnected = errors.New("connection failed")

// Forward sends a request to the process incarnation that owns its key. The response
// has WrongOwner set when another incarnation runs there. The error is a *CallError.
func (n *Node) Forward(ctx context.Context, m membership.Member, req *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error) {
	return call(ctx, n, m.PeerAddr, peerpb.PeerClient.Forward, req)
}

// ShowKey asks the process incarnation that owns a key for the key's state. The response
// has WrongOwner set when another incarnation runs there. The error is a *CallError.
func (n *Node) ShowKey(ctx context.Context, m membership.Member, req *peerpb.ShowKeyRequest) (*peerpb.ShowKeyResponse, error) {
	return call(ctx, n, m.PeerAddr, peerpb.PeerClient.ShowKey, req)
}

// method is a unary method of a peer.
type method[Req, Resp any] func(peerpb.PeerClient, context.Context, *Req, ...grpc.CallOption) (*Resp, error)

// call calls a method of the peer at addr. The error is a *CallError.
func call[Req, Resp any](ctx context.Context, n *Node, addr string, do method[Req, Resp], req *Req) (*Resp, error) {
	conn, err := n.conn(ctx, addr)
	if err != nil {
		return nil, &CallError{
			Addr: addr,
			Err:  err,
		}
	}
	var reached grpcpeer.Peer
	resp, err := do(peerpb.NewPeerClient(conn), ctx, req, grpc.Peer(&reached))
	if err != nil {
		return nil, &CallError{
			Addr:      addr,
			MaybeSent: reached.Addr != nil,
			Err:       err,
		}
	}
	return resp, nil
}

// conn returns the shared connection to an address once it is ready.
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

// awaitReady waits until c is ready or an attempt to connect has failed. A failure that
// was there before the call does not count: c is then told to connect again at once.
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
