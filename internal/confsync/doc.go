// Package confsync keeps a daemon's folded state in step with the platform's log
// and with its peers, and changes the log on behalf of operators and lease holders.
//
// A Reader tails the log into a fold.Machine. While the log can't be read it takes
// records from peers. A daemon that has never had a whole state is not ready; one
// that has goes on with its last state for as long as it reaches neither the log
// nor a peer, because old tables still answer callers and never contradict an edit
// that was accepted later: they only lack it.
//
// An Editor submits an operator's edit and tells how it was settled. A Leaser holds
// a named lease.
package confsync
