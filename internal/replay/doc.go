// Package replay replays recorded traces open-loop against the packages that make
// scheduling decisions and measures the outcome and cost of the requests.
//
// A trace is a file of JSON lines, one Arrival each. A Scenario names a trace,
// a deployment, the faults to inject and the outcomes that must be reached.
// Play runs the real pipeline of each entry host against simulated in-memory
// upstreams; inside a testing/synctest bubble it takes no real time.
package replay
