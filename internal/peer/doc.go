// Package peer carries messages between daemons over gRPC: links to neighbours for
// the membership table and for records of the log, requests forwarded to the process
// that owns a key, and catch-up of a daemon that is behind.
//
//	n := peer.New(peer.Config{Listen: addr, Table: table, Records: records, Forwarder: f})
//	err := n.Serve(ctx)
package peer
