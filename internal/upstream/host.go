package upstream

import (
	"fmt"
	"time"

	"sequoiafork/internal/table"
)

// State says whether an upstream takes new work.
type State int

// The states of an upstream.
const (
	// Live upstreams take new work.
	Live State = iota
	// Leaving upstreams finish what they have and get nothing new.
	Leaving
	// Dead upstreams refuse connections.
	Dead
	// Suspect upstreams fail or are slow. It is no state of its own: OnMark
	// tells it of an ejection, and Mark ejects.
	Suspect
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	case Suspect:
		return "suspect"
	}
	return fmt.Sprintf("State(%d)", int(s))
}

// Host is one entry of the host list.
type Host struct {
	Addr string
	// Incarnation names the process at the address, where the host list tells it.
	// Another process at the same address starts with a clean record.
	Incarnation string
	DataCentre  string
	Service     string
	State       State
}

// key identifies a host over host lists.
func (h Host) key() string {
	if h.Incarnation == "" {
		return h.Addr
	}
	return h.Addr + "/" + h.Incarnation
}

// Request asks for an upstream.
type Request struct {
	// Pool names the service and the concurrency of its upstreams.
	Pool *table.Pool
	// Affinity keeps requests with the same value on the same upstream as
	// long as its load allows. Zero means none.
	Affinity uint64
	// DataCentreWeights gives the data centres that should get more or less of the work with an
	// affinity than their number of upstreams says. Nil, or a data centre that is
	// missing, means one.
	DataCentreWeights map[string]float64
	// Exclude lists addresses that must not be chosen, such as those that
	// were tried already.
	Exclude []string
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OK means that the whole answer arrived.
	OK Outcome = iota
	// ConnectFailed means that no connection could be made; nothing was sent.
	ConnectFailed
	// Failed means that the upstream answered with an error or broke off.
	Failed
	// TimedOut means that the answer did not arrive in the attempt's time.
	TimedOut
	// RefusedLeaving means that the upstream answered that it takes no new work.
	RefusedLeaving
	// Cancelled means that the caller gave the attempt up for its own reasons.
	Cancelled
	// Overloaded means that the upstream answered at once that it is full.
	Overloaded
)

// Load is the load that an upstream reported.
type Load struct {
	InFlight int
	Queued   int
	Capacity int
	// Age is the time since the load was sampled.
	Age time.Duration
	// Leaving says that the upstream takes no new work.
	Leaving bool
}

// Result is the end of an attempt.
type Result struct {
	Outcome Outcome
	// Latency is the time from the start to the end of the attempt, or to the
	// beginning of a stream.
	Latency time.Duration
	// ResponseStarted says that Choice.ResponseStarted was called.
	ResponseStarted bool
	// Load is the upstream's load, where the answer carried one.
	Load *Load
}

// NoUpstreamError reports that no upstream can take a request.
type NoUpstreamError struct {
	Pool   string
	Reason string
	// RetryAfter is when an upstream is tried again. Zero means unknown.
	RetryAfter time.Duration
}

// Error describes why there is no upstream.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream for pool %q: %s", e.Pool, e.Reason)
}

// Status is the state of one upstream.
type Status struct {
	Addr       string
	Service    string
	DataCentre string
	State      State
	Reason     string
	InFlight   int
}
