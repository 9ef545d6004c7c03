// Package membership keeps the table of daemons and what they tell each other
// about upstreams. It has no network: the peer package carries its messages.
//
// Each daemon keeps links to a small stable set of neighbours, chosen by
// rendezvous hash so that two daemons that share a member table agree on who is
// near whom. Heartbeats run over the links. A neighbour that is silent is declared
// dead, and the rumor is passed on once by everyone who learns something from it.
// An incarnation that was declared dead wrongly refutes that with a higher version.
// Digests in the heartbeats find tables that differ; the two ends then exchange
// the buckets of members that differ.
//
//	t := membership.New(membership.Config{Self: self, Seeds: seeds})
//	go t.Run(ctx)
//	addrs, keep := t.Resolve(caller, dataCentre)
package membership
