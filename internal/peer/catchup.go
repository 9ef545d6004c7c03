package peer

import (
	"context"
	"errors"
	"sort"

	"sequoiafork/internal/wire/peerpb"
)

// maxCatchUpPeers is how many neighbours are asked before CatchUp gives up.
const maxCatchUpPeers = 3

// ErrNoPeers says that there is no link to any peer to ask.
var ErrNoPeers = errors.New("peer: no link to a peer")

// CatchUp asks neighbours for the records from an offset on, the one that is furthest
// ahead first.
func (n *Node) CatchUp(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	neighbours := n.cfg.Table.Neighbours()
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
	conn, err := n.conn(ctx, addr)
	if err != nil {
		return nil, &CallError{
			Addr: addr,
			Err:  err,
		}
	}
	resp, err := peerpb.NewPeerClient(conn).CatchUp(ctx, &peerpb.CatchUpRequest{
		FromOffset: from,
	})
	if err != nil {
		return nil, &CallError{
			Addr:      addr,
			MaybeSent: true,
			Err:       err,
		}
	}
	return resp, nil
}
