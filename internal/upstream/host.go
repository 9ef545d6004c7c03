package upstream

import (
	"fmt"
	"time"

	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/table"
)

// State is the state of an upstream; it determines whether the upstream takes new work.
type State int

// The states of an upstream.
const (
	// Live upstreams take new work.
	Live State = iota
	// Leaving upstreams drain: they finish the work they have and get no new work.
	Leaving
	// Dead upstreams refuse connections.
	Dead
	// Suspect upstreams fail or are slow. An upstream never has this state:
	// Config.OnStateChange reports an ejection with it, and OverrideState with
	// it ejects an upstream.
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
	// Incarnation identifies one run of the process at the address, if the host list
	// has it. A new incarnation at the same address starts without a history.
	Incarnation string
	DataCentre  string
	Service     string
	// Version is the version of the software that the upstream runs. Empty means unknown.
	Version string
	State   State
	// Cold is what is known of the upstream being cold. Without a limit it never is.
	Cold coldstart.Mark
}

// key identifies a host across host lists.
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
	// DataCentreWeights gives weights to data centres that should get more or less of the
	// work with an affinity than their number of upstreams implies. A missing data centre
	// has weight one.
	DataCentreWeights map[string]float64
	// Exclude lists addresses that must not be chosen, such as those that
	// were tried already.
	Exclude []string
	// Version is the software version that the upstream must have. It is valid if PinVersion is set.
	Version    string
	PinVersion bool
	// Spare asks for an upstream with a free slot that takes work as usual, on another host than those in Exclude, since
	// the attempt is not necessary. There may be none although upstreams take work.
	Spare bool
	// MaxDelay is how long the request may wait for an upstream that limits its rate, if no other
	// upstream can take it.
	MaxDelay time.Duration
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OK means that the complete response arrived.
	OK Outcome = iota
	// ConnectFailed means that no connection could be made; nothing was sent.
	ConnectFailed
	// Failed means that the upstream responded with an error or that the
	// connection was lost.
	Failed
	// TimedOut means that no complete response arrived before the attempt's timeout.
	TimedOut
	// RefusedLeaving means that the upstream rejected the attempt because it is
	// leaving.
	RefusedLeaving
	// Cancelled means that the attempt was cancelled for a reason unrelated to the
	// upstream.
	Cancelled
	// Overloaded means that the upstream rejected the attempt at once because it
	// is full.
	Overloaded
)

// Load is the load that an upstream reported.
type Load struct {
	InFlight int
	Queued   int
	Capacity int
	// Pace is how long work takes at the upstream now, as a multiple of the usual time there. Zero
	// means that it is not known.
	Pace float64
	// Age is the time since the load was sampled.
	Age time.Duration
	// Leaving reports that the upstream takes no new work.
	Leaving bool
}

// Result describes how an attempt ended.
type Result struct {
	Outcome Outcome
	// Latency is the time from the start to the end of the attempt, or to the
	// start of a streamed response.
	Latency time.Duration
	// ResponseStarted reports that Choice.ResponseStarted was called.
	ResponseStarted bool
	// Load is the upstream's load if the response carried one.
	Load *Load
}

// NoUpstreamError reports that no upstream can take a request.
type NoUpstreamError struct {
	Pool   string
	Reason string
	// RetryAfter is the time until an upstream is tried again. Zero means unknown.
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
