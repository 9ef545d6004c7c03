// Package upstream chooses the upstream that gets the next attempt.
//
// A Set combines the host list with the states that this daemon and its peers
// observe, and with the work and the load of each upstream. It does no network
// I/O: the code that makes an attempt reports its result to the attempt's Choice.
//
//	s := upstream.New(upstream.Config{DataCentre: "a", Self: addr})
//	s.Replace(hosts)
//	c, err := s.Pick(upstream.Request{Pool: pool})
//	// call c.Addr
//	c.Done(upstream.Result{Outcome: upstream.OK, Latency: took})
package upstream

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/ratelimit"
)

const (
	defaultSubsetSize    = 32
	defaultDeadTTL       = 30 * time.Second
	defaultLeavingTTL    = 5 * time.Minute
	defaultProbeMin      = 250 * time.Millisecond
	defaultProbeMax      = 8 * time.Second
	defaultEjectMin      = 10 * time.Second
	defaultEjectMax      = time.Minute
	defaultRampUpTime    = 10 * time.Second
	defaultLoadHalfLife  = 2 * time.Second
	defaultAffinityBound = 1.25
	defaultRemotePenalty = 1.1
)

// Policy is the load-balancing policy of Pick. It is one of TwoChoices,
// RoundRobin, Random and LeastInFlight.
type Policy interface{ policy() }

// TwoChoices compares two random upstreams by load, speed and distance, and
// keeps requests with the same affinity together.
type TwoChoices struct{}

// RoundRobin takes the upstreams in turn.
type RoundRobin struct{}

// Random takes a random upstream.
type Random struct{}

// LeastInFlight takes the upstream with the fewest attempts of this daemon in flight.
type LeastInFlight struct{}

func (TwoChoices) policy()    {}
func (RoundRobin) policy()    {}
func (Random) policy()        {}
func (LeastInFlight) policy() {}

// Config configures a Set.
type Config struct {
	// DataCentre is the data centre of this daemon; upstreams in it are
	// slightly preferred, see RemotePenalty.
	DataCentre string
	// Seed seeds the random choices.
	Seed uint64
	// Self is the name of this daemon. It determines which subset of a large
	// pool the daemon uses.
	Self string
	// Policy is the load-balancing policy. Nil means TwoChoices.
	Policy Policy
	// SubsetSize is the minimum number of live upstreams of one service that
	// this daemon uses, if the service has as many. See group.size. Zero means 32.
	SubsetSize int
	// DeadTTL and LeavingTTL are how long a state override takes precedence over
	// the host list. Zero means 30 s and 5 minutes.
	DeadTTL    time.Duration
	LeavingTTL time.Duration
	// ProbeMin and ProbeMax bound the time after which a request tries a dead
	// upstream again. Zero means 250 ms and 8 s.
	ProbeMin time.Duration
	ProbeMax time.Duration
	// EjectMin and EjectMax bound how long a failing or slow upstream gets no
	// work. Zero means 10 s and a minute.
	EjectMin time.Duration
	EjectMax time.Duration
	// NoEjection turns ejection off.
	NoEjection bool
	// RampUpTime is how long an upstream takes to get its full share again
	// after an ejection. Zero means 10 s.
	RampUpTime time.Duration
	// LoadHalfLife is the age at which a reported load counts for half. Zero
	// means 2 s.
	LoadHalfLife time.Duration
	// AffinityBound is the load, as a multiple of the mean, above which an
	// upstream gets no requests by affinity. Zero means 1.25.
	AffinityBound float64
	// RemotePenalty multiplies the score of upstreams in other data centres.
	// Zero means 1.1.
	RemotePenalty float64
	// OnStateChange is called when an attempt of this daemon shows that an
	// upstream is leaving, dead, or live again after it was dead, and with
	// Suspect when the attempt leads to an ejection. It must not block.
	OnStateChange func(addr string, st State)
	// Daemons returns the names of the daemons that share the upstreams. Nil means this one alone.
	Daemons func() []string
	// Cold are the rights of this daemon at cold upstreams. Nil means that no upstream is cold.
	Cold *coldstart.Rights
	// OnLimit is called when an attempt of this daemon shows that an upstream has named a limit of
	// its rate, or named none any more, and that the other daemons are to know. It must not block.
	OnLimit func(h Host, l ratelimit.Limit)
	// OnLeaving is called when a response to an attempt of this daemon says that the upstream
	// leaves. The host list is to have it as Leaving from then on. It must not block.
	OnLeaving func(h Host)
	// Logger may be nil.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	if c.Policy == nil {
		c.Policy = TwoChoices{}
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	c.SubsetSize = cmp.Or(c.SubsetSize, defaultSubsetSize)
	c.DeadTTL = cmp.Or(c.DeadTTL, defaultDeadTTL)
	c.LeavingTTL = cmp.Or(c.LeavingTTL, defaultLeavingTTL)
	c.ProbeMin = cmp.Or(c.ProbeMin, defaultProbeMin)
	c.ProbeMax = cmp.Or(c.ProbeMax, defaultProbeMax)
	c.EjectMin = cmp.Or(c.EjectMin, defaultEjectMin)
	c.EjectMax = cmp.Or(c.EjectMax, defaultEjectMax)
	c.RampUpTime = cmp.Or(c.RampUpTime, defaultRampUpTime)
	c.LoadHalfLife = cmp.Or(c.LoadHalfLife, defaultLoadHalfLife)
	c.AffinityBound = cmp.Or(c.AffinityBound, defaultAffinityBound)
	c.RemotePenalty = cmp.Or(c.RemotePenalty, defaultRemotePenalty)
	return c
}
