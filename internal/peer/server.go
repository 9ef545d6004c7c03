package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiafork/internal/wire/peerpb"
)

// server implements the Peer service.
type server struct {
	peerpb.UnimplementedPeerServer
	node *Node
}

// Link runs a link that a neighbour has dialed.
func (s *server) Link(st grpc.BidiStreamingServer[peerpb.LinkMessage, peerpb.LinkMessage]) error {
	s.node.runLink(st.Context(), st, false)
	return nil
}

// CatchUp serves records to a lagging peer, within the rate limit.
func (s *server) CatchUp(ctx context.Context, req *peerpb.CatchUpRequest) (*peerpb.CatchUpResponse, error) {
	if s.node.cfg.LogReplica == nil {
		return nil, status.Error(codes.Unavailable, "no records here")
	}
	if !s.node.catchUpLimiter.Allow() {
		return nil, status.Error(codes.ResourceExhausted, "too many catch-ups, try another peer")
	}
	return s.node.cfg.LogReplica.CatchUp(ctx, req.GetFromOffset())
}

// Forward runs a request whose key this incarnation owns.
func (s *server) Forward(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error) {
	if req.GetOwner() != s.node.cfg.Table.Self().Incarnation {
		return &peerpb.ForwardResponse{
			WrongOwner: true,
		}, nil
	}
	if s.node.cfg.Forwarder == nil {
		return nil, status.Error(codes.Unavailable, "no forwarder here")
	}
	return s.node.cfg.Forwarder.Forward(ctx, req)
}

// ShowKey returns the state of a key that this incarnation owns.
func (s *server) ShowKey(ctx context.Context, req *peerpb.ShowKeyRequest) (*peerpb.ShowKeyResponse, error) {
	if req.GetOwner() != s.node.cfg.Table.Self().Incarnation {
		return &peerpb.ShowKeyResponse{
			WrongOwner: true,
		}, nil
	}
	if s.node.cfg.Forwarder == nil {
		return nil, status.Error(codes.Unavailable, "no forwarder here")
	}
	return s.node.cfg.Forwarder.ShowKey(ctx, req)
}
