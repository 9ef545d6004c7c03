// Package peer implements the calls between daemons over gRPC: links to neighbours
// that carry the membership table and log records, forwarding of requests to the
// process incarnation that owns their key, stage work for its owner, and catch-up of a
// lagging replica. An incarnation is one run of a process; a restart is a new
// incarnation.
//
//	n := peer.New(peer.Config{Listen: addr, Table: table, LogReplica: replica, Forwarder: f})
//	err := n.Serve(ctx)
package peer
