// Package confsync synchronizes a daemon's state machine with the platform's log and
// with its peers, and appends to the log for operators and lease holders.
//
// A Syncer tails the log and applies its records to a fold.StateMachine. While the log
// can't be read it fetches records from peers. A daemon is not ready until its state has
// been complete once. After that it keeps serving its last state while neither the log
// nor a peer is reachable, because old tables still serve callers and never contradict an
// edit that was accepted later: they only lack it.
//
// An Editor submits an operator's edit and reports its outcome. A LeaseHolder holds a
// named lease.
package confsync
