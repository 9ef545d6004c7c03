package entryhost

import (
	"context"

	"sequoiafork/internal/wire/peerpb"
)

// tableRecords gives the routes in force to peers that lack them. The version of the
// routes stands for the offset that a peer asks from.
type tableRecords struct {
	host *Daemon
}

// NextOffset implements peer.Records.
func (r tableRecords) NextOffset() uint64 {
	if t := r.host.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// CatchUp implements peer.Records.
func (r tableRecords) CatchUp(_ context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	resp := &peerpb.CatchUpResponse{
		NextOffset: r.NextOffset(),
	}
	if r.NextOffset() > from {
		resp.Snapshot = r.host.raw
	}
	return resp, nil
}

// Deliver implements peer.Records. Routes are fetched, never pushed.
func (tableRecords) Deliver([]*peerpb.LogRecord) {}
