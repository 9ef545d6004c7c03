package peer

import (
	"context"
	"errors"
	"sort"

	"sequoiafork/internal/wire/peerpb"
)

// maxCatchUpPeers is the maximum number of neighbours that CatchUp asks.
const maxCatchUpPeers = 3

// ErrNoPeers is returned by CatchUp when there is no link to a peer.
var ErrNoPeers = errors.New("peer: no link to a peer")

// CatchUp requests the log records from an offset on. It asks neighbours in turn, those
// with the highest next offset first.
func (n *Node) CatchUp(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	neighbours := n.cfg.Table.LinkedMembers()
	sort.SliceStable(neighbours, func(i, j int) bool {
		return neighbours[i].NextOffset > neighbours[j].NextOffset
	})
	err := ErrNoPeers
	for _, m := range neighbours[:min(len(neighbours), maxCatchUpPeers)] {
		var resp *peerpb.CatchUpResponse
		resp, err = n.catchUpFrom(ctx, m.PeerAddr, from)
		if err == nil {
			return resp, nil
		}
	}
	return nil, err
}

func (n *Node) catchUpFrom(ctx context.Context, addr string, from uint64) (*peerpb.CatchUpResponse, error) {
	return call(ctx, n, addr, peerpb.PeerClient.CatchUp, &peerpb.CatchUpRequest{
		FromOffset: from,
	})
}
