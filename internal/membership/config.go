package membership

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	DefaultHeartbeat        = time.Second
	DefaultHeartbeatTimeout = 3 * time.Second
	DefaultUnreachableAfter = 5 * time.Second
	DefaultForgetAfter      = 10 * time.Minute
	DefaultReconnectFor     = 24 * time.Hour
	DefaultProbeEvery       = 10 * time.Second
	DefaultUnwantedAfter    = 10 * time.Second
	DefaultExchangeEvery    = 5 * time.Second
	DefaultDeadTTL          = 30 * time.Second
	DefaultLeavingTTL       = 5 * time.Minute
	DefaultResolveTTL       = 10 * time.Second
	DefaultNeighbours       = 5
	DefaultResolveMax       = 8
	DefaultUpstreamRate     = 20
	DefaultUpstreamBurst    = 200
)

// Config configures a Table. Zero fields mean the defaults above.
type Config struct {
	// Self is this process. A zero Version means the start time in milliseconds.
	Self Member
	// Seeds are peer addresses (IP:port) to find the first members by.
	Seeds []string
	// RandSeed seeds the random choice of the address that is probed next.
	RandSeed uint64
	// OnUpstream is called, one call at a time, when what the daemons know of an
	// upstream changes. UpstreamUnknown says that the last rumor has expired.
	OnUpstream func(addr string, st UpstreamState)

	// Heartbeat is the time between two heartbeats on a link.
	Heartbeat time.Duration
	// HeartbeatTimeout is the silence after which a linked neighbour is declared dead.
	HeartbeatTimeout time.Duration
	// UnreachableAfter is the time after which a chosen neighbour that no link was
	// ever made to is declared dead.
	UnreachableAfter time.Duration
	// ForgetAfter is how long a dead incarnation is remembered.
	ForgetAfter time.Duration
	// ReconnectFor is how long the address of a dead member is still probed.
	ReconnectFor time.Duration
	// ProbeEvery is the time between two probes of addresses without a live member.
	ProbeEvery time.Duration
	// UnwantedAfter is how long a link lives that neither end has chosen.
	UnwantedAfter time.Duration
	// ExchangeEvery is the least time between two table exchanges on a link.
	ExchangeEvery time.Duration
	// DeadTTL is how long a rumor that an upstream is dead, or live again, holds
	// after it was seen, and LeavingExpiry one that it is leaving. The latter covers a
	// host list that is late, for daemons that start or come back meanwhile.
	DeadTTL    time.Duration
	LeavingTTL time.Duration
	// ResolveTTL is how long callers may keep an answer of Resolve.
	ResolveTTL time.Duration
	// Neighbours is how many neighbours a daemon chooses. Up to that many other
	// members form a full mesh.
	Neighbours int
	// ResolveMax is the greatest number of addresses in an answer of Resolve.
	ResolveMax int
	// UpstreamRumorRate and UpstreamBurst bound the rumors a second that this process
	// starts about upstreams. Those over it wait and are merged by address.
	UpstreamRumorRate  float64
	UpstreamRumorBurst int
}

func (c Config) withDefaults() Config {
	c.Heartbeat = cmp.Or(c.Heartbeat, DefaultHeartbeat)
	c.HeartbeatTimeout = cmp.Or(c.HeartbeatTimeout, DefaultHeartbeatTimeout)
	c.UnreachableAfter = cmp.Or(c.UnreachableAfter, DefaultUnreachableAfter)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, DefaultForgetAfter)
	c.ReconnectFor = cmp.Or(c.ReconnectFor, DefaultReconnectFor)
	c.ProbeEvery = cmp.Or(c.ProbeEvery, DefaultProbeEvery)
	c.UnwantedAfter = cmp.Or(c.UnwantedAfter, DefaultUnwantedAfter)
	c.ExchangeEvery = cmp.Or(c.ExchangeEvery, DefaultExchangeEvery)
	c.DeadTTL = cmp.Or(c.DeadTTL, DefaultDeadTTL)
	c.LeavingTTL = cmp.Or(c.LeavingTTL, DefaultLeavingTTL)
	c.ResolveTTL = cmp.Or(c.ResolveTTL, DefaultResolveTTL)
	c.Neighbours = cmp.Or(c.Neighbours, DefaultNeighbours)
	c.ResolveMax = cmp.Or(c.ResolveMax, DefaultResolveMax)
	c.UpstreamRumorRate = cmp.Or(c.UpstreamRumorRate, DefaultUpstreamRate)
	c.UpstreamRumorBurst = cmp.Or(c.UpstreamRumorBurst, DefaultUpstreamBurst)
	c.Self.State = cmp.Or(c.Self.State, Alive)
	c.Self.Version = cmp.Or(c.Self.Version, uint64(time.Now().UnixMilli()))
	return c
}

// upstreamTTL is how long a rumor with a state holds.
func (c Config) upstreamTTL(st UpstreamState) time.Duration {
	if st == UpstreamLeaving {
		return c.LeavingTTL
	}
	return c.DeadTTL
}
