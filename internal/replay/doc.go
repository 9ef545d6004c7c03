// Package replay plays recorded traces open-loop against the decision packages
// and measures what became of the requests and what they cost.
//
// A trace is a file of JSON lines, one Arrival each. A Scenario names a trace,
// a deployment, the faults that happen during it and the outcomes that must be
// reached. Play runs the entry hosts' real pipeline over in-memory upstreams;
// inside a testing/synctest bubble it takes no real time.
package replay
