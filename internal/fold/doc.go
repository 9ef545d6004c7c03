// Package fold turns the records of the platform's log into state: routes and
// pools, settled edits, leases and claims. Every daemon applies the same rules in
// offset order, so two machines that have applied the same records hold the same
// state and the same digest.
//
//	m := fold.New(fold.Config{})
//	err := m.Apply(offset, timeMs, data)
//
// Time is the log's: the latest time_ms of the records so far. Offset zero is never
// folded, because revision zero means that a row doesn't exist.
package fold
