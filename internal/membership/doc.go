// Package membership maintains the table of daemons and gossips the states of
// upstreams among them. It does no network I/O: the peer package carries its messages.
//
// A member is one incarnation of a daemon, that is, one run of its process; a restart
// is a new incarnation. Each daemon keeps links to a small, stable set of neighbours,
// chosen by rendezvous hashing so that two daemons with equal member tables rank each
// pair alike. Heartbeats run over the links. A neighbour whose heartbeats time out is
// declared dead. Rumors, the gossiped updates, are flooded over the links: a daemon
// forwards a rumor only if it changes its own table. An incarnation that was wrongly
// declared dead refutes that with a higher version. Digests in the heartbeats detect
// tables that differ; the two ends then exchange the buckets of members that differ.
//
//	t := membership.New(membership.Config{Self: self, Seeds: seeds})
//	go t.Run(ctx)
//	addrs, ttl := t.Resolve(caller, dataCentre)
package membership
