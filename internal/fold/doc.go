// Package fold is the replicated state machine of the platform's log. It applies the
// records in offset order and holds the resulting state: routes and pools, the
// outcomes of edits, leases and claims. Every daemon applies the same rules, so two
// machines that have applied the same records hold the same state and the same digest.
//
//	m := fold.New(fold.Config{})
//	err := m.Apply(offset, timeMs, data)
//
// The rules read no clock but the log's time: the highest time_ms of the records so
// far. Offset zero is never applied, because revision zero means that a row doesn't
// exist.
package fold
