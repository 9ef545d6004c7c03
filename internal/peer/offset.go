package peer

import (
	"context"
	"fmt"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/wire/peerpb"
)

// StaleIncarnationError reports that the incarnation that was asked for has ended and
// another one runs at its address.
type StaleIncarnationError struct {
	Incarnation string
}

// Error returns a message with the incarnation that was asked for.
func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("peer: incarnation %s has ended, another one runs at its address", e.Incarnation)
}

// Offset asks a member for the next offset of its log replica. The error is a *CallError
// or a *StaleIncarnationError.
func (n *Node) Offset(ctx context.Context, m membership.Member) (uint64, error) {
	resp, err := call(ctx, n, m.PeerAddr, peerpb.PeerClient.Offset, &peerpb.OffsetRequest{
		Incarnation: m.Incarnation,
	})
	if err != nil {
		return 0, err
	}
	if resp.GetOther() {
		return 0, &StaleIncarnationError{
			Incarnation: m.Incarnation,
		}
	}
	return resp.GetNextOffset(), nil
}

// Offset implements peerpb.PeerServer.
func (s *server) Offset(_ context.Context, req *peerpb.OffsetRequest) (*peerpb.OffsetResponse, error) {
	resp := &peerpb.OffsetResponse{
		Other: req.GetIncarnation() != s.node.cfg.Table.Self().Incarnation,
	}
	if s.node.cfg.LogReplica != nil {
		resp.NextOffset = s.node.cfg.LogReplica.NextOffset()
	}
	return resp, nil
}
