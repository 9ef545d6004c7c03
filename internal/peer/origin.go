package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/streamorigin"
	"sequoiafork/internal/wire/peerpb"
)

// maxOriginAge bounds the age of an origin, which could overflow otherwise. It is longer than origins are kept.
const maxOriginAge = 365 * 24 * time.Hour

// OriginKeeper keeps the origins of streams for peers.
type OriginKeeper interface {
	// Receive records origins that a peer has announced.
	Receive(list []streamorigin.Entry)
	// Ask returns what this process knows of the stream that a request of a service began.
	Ask(requestID, service string) streamorigin.Answer
}

// AnnounceOrigins tells a member the origins of streams. The error is a *CallError.
func (n *Node) AnnounceOrigins(ctx context.Context, m membership.Member, list []streamorigin.Entry) error {
	req := &peerpb.AnnounceOriginsRequest{}
	for _, e := range list {
		req.Origins = append(req.Origins, &peerpb.StreamOrigin{
			RequestId: []byte(e.RequestID),
			Service:   e.Origin.Service,
			Version:   e.Origin.Version,
			AgeMs:     e.Age.Milliseconds(),
		})
	}
	_, err := call(ctx, n, m.PeerAddr, peerpb.PeerClient.AnnounceOrigins, req)
	return err
}

// AnnounceOrigins records the origins that a peer announces.
func (s *server) AnnounceOrigins(_ context.Context, req *peerpb.AnnounceOriginsRequest) (*peerpb.AnnounceOriginsResponse, error) {
	if s.node.cfg.Origins == nil {
		return nil, status.Error(codes.Unavailable, "no origins of streams here")
	}
	list := make([]streamorigin.Entry, 0, len(req.GetOrigins()))
	for _, o := range req.GetOrigins() {
		list = append(list, streamorigin.Entry{
			RequestID: string(o.GetRequestId()),
			Origin:    originFrom(o),
			Age:       time.Duration(min(max(o.GetAgeMs(), 0), maxOriginAge.Milliseconds())) * time.Millisecond,
		})
	}
	s.node.cfg.Origins.Receive(list)
	return &peerpb.AnnounceOriginsResponse{}, nil
}

// QueryOrigin asks a member what it knows of the stream that a request of a service began. The error is a
// *CallError.
func (n *Node) QueryOrigin(ctx context.Context, m membership.Member, requestID, service string) (streamorigin.Answer, error) {
	resp, err := call(ctx, n, m.PeerAddr, peerpb.PeerClient.QueryOrigin, &peerpb.QueryOriginRequest{
		RequestId: []byte(requestID),
		Service:   service,
	})
	if err != nil {
		return streamorigin.Answer{}, err
	}
	return streamorigin.Answer{
		Known:    resp.GetOrigin() != nil,
		Origin:   originFrom(resp.GetOrigin()),
		Versions: resp.GetVersions(),
		Complete: resp.GetComplete(),
	}, nil
}

// QueryOrigin serves a peer what this process knows of a stream.
func (s *server) QueryOrigin(_ context.Context, req *peerpb.QueryOriginRequest) (*peerpb.QueryOriginResponse, error) {
	if s.node.cfg.Origins == nil {
		return nil, status.Error(codes.Unavailable, "no origins of streams here")
	}
	a := s.node.cfg.Origins.Ask(string(req.GetRequestId()), req.GetService())
	resp := &peerpb.QueryOriginResponse{
		Versions: a.Versions,
		Complete: a.Complete,
	}
	if a.Known {
		resp.Origin = &peerpb.StreamOrigin{
			RequestId: req.GetRequestId(),
			Service:   a.Origin.Service,
			Version:   a.Origin.Version,
		}
	}
	return resp, nil
}

// originFrom converts an origin. That of nil is empty.
func originFrom(o *peerpb.StreamOrigin) streamorigin.Origin {
	return streamorigin.Origin{
		Service: o.GetService(),
		Version: o.GetVersion(),
	}
}
