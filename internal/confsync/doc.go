// Package confsync synchronizes a daemon's state machine with the platform's log and
// with its peers, and appends to the log for operators and lease holders.
//
// A Syncer tails the log and applies its records to a fold.StateMachine. While the log
// can't be read it fetches records from peers. A daemon that has never had a complete
// state is not ready. One that has continues with its last state for as long as it
// reaches neither the log nor a peer, because old tables still serve callers and never
// contradict an edit that was accepted later: they only lack it.
//
// An Editor submits an operator's edit and reports its outcome. A LeaseHolder holds a
// named lease.
package confsync
