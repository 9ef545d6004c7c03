package entryhost

import (
	"context"

	"sequoiafork/internal/wire/peerpb"
)

// tableRecords sends the routes in effect to peers that lack them. Offsets are versions of
// the routes.
type tableRecords struct {
	daemon *Daemon
}

// NextOffset implements peer.LogReplica.
func (r tableRecords) NextOffset() uint64 {
	if t := r.daemon.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// CatchUp implements peer.LogReplica.
func (r tableRecords) CatchUp(_ context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	r.daemon.mu.Lock()
	defer r.daemon.mu.Unlock()
	resp := &peerpb.CatchUpResponse{
		NextOffset: r.NextOffset(),
	}
	if r.NextOffset() > from {
		resp.Snapshot = r.daemon.raw
	}
	return resp, nil
}

// Deliver implements peer.LogReplica. It does nothing: routes are fetched, never pushed.
func (tableRecords) Deliver([]*peerpb.LogRecord) {}
