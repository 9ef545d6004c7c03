package membership

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	DefaultHeartbeatInterval  = time.Second
	DefaultHeartbeatTimeout   = 3 * time.Second
	DefaultUnreachableAfter   = 5 * time.Second
	DefaultForgetAfter        = 10 * time.Minute
	DefaultReconnectFor       = 24 * time.Hour
	DefaultProbeInterval      = 10 * time.Second
	DefaultUnwantedAfter      = 10 * time.Second
	DefaultExchangeInterval   = 5 * time.Second
	DefaultDeadTTL            = 30 * time.Second
	DefaultLeavingTTL         = 5 * time.Minute
	DefaultResolveTTL         = 10 * time.Second
	DefaultNeighbourCount     = 5
	DefaultResolveMax         = 8
	DefaultUpstreamRumorRate  = 20
	DefaultUpstreamRumorBurst = 200
)

// Config configures a Table. Zero fields take the defaults above.
type Config struct {
	// Self describes this process. A zero Version means the start time in Unix
	// milliseconds.
	Self Member
	// Seeds are peer addresses (IP:port) through which the first members are found.
	Seeds []string
	// RandSeed seeds the random choice of the next address to probe.
	RandSeed uint64
	// OnUpstream is called, one call at a time, when the gossiped state of an
	// upstream changes. UpstreamUnknown means that the last rumor has expired.
	OnUpstream func(addr string, st UpstreamState)
	// OnNotice is called, one call at a time, with what upstreams said of themselves to other
	// daemons.
	OnNotice func(n UpstreamNotice)
	// Evidence keeps what the daemons have observed of requests that end upstreams. Nil keeps and forwards none.
	Evidence EvidenceKeeper

	// HeartbeatInterval is the interval between two heartbeats on a link.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without a message after which a linked neighbour
	// is declared dead.
	HeartbeatTimeout time.Duration
	// UnreachableAfter is the time after which a chosen neighbour is declared dead if
	// no link to it was ever established.
	UnreachableAfter time.Duration
	// ForgetAfter is how long a dead incarnation is remembered.
	ForgetAfter time.Duration
	// ReconnectFor is how long the address of a dead member is still probed.
	ReconnectFor time.Duration
	// ProbeInterval is the interval between two probes of addresses without a living
	// member.
	ProbeInterval time.Duration
	// UnwantedAfter is how long a link that neither end has chosen stays open.
	UnwantedAfter time.Duration
	// ExchangeInterval is the minimum interval between two table exchanges on a link.
	ExchangeInterval time.Duration
	// DeadTTL is how long a rumor that an upstream is dead, suspect or live again is
	// valid after the observation; LeavingTTL is the same for a leaving upstream. The
	// latter has to outlast a delayed host list, so that daemons that start or
	// reconnect in the meantime still learn that the upstream is leaving.
	DeadTTL    time.Duration
	LeavingTTL time.Duration
	// ResolveTTL is how long callers may cache the addresses from Resolve.
	ResolveTTL time.Duration
	// NeighbourCount is how many neighbours a daemon chooses. With at most that many
	// other members, the daemons form a full mesh.
	NeighbourCount int
	// ResolveMax is the maximum number of addresses that Resolve returns.
	ResolveMax int
	// UpstreamRumorRate (per second) and UpstreamRumorBurst limit the rumors about
	// upstreams that this process originates. Reports over the limit wait, and only
	// the latest one for each address is kept.
	UpstreamRumorRate  float64
	UpstreamRumorBurst int
}

func (c Config) withDefaults() Config {
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.HeartbeatTimeout = cmp.Or(c.HeartbeatTimeout, DefaultHeartbeatTimeout)
	c.UnreachableAfter = cmp.Or(c.UnreachableAfter, DefaultUnreachableAfter)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, DefaultForgetAfter)
	c.ReconnectFor = cmp.Or(c.ReconnectFor, DefaultReconnectFor)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.UnwantedAfter = cmp.Or(c.UnwantedAfter, DefaultUnwantedAfter)
	c.ExchangeInterval = cmp.Or(c.ExchangeInterval, DefaultExchangeInterval)
	c.DeadTTL = cmp.Or(c.DeadTTL, DefaultDeadTTL)
	c.LeavingTTL = cmp.Or(c.LeavingTTL, DefaultLeavingTTL)
	c.ResolveTTL = cmp.Or(c.ResolveTTL, DefaultResolveTTL)
	c.NeighbourCount = cmp.Or(c.NeighbourCount, DefaultNeighbourCount)
	c.ResolveMax = cmp.Or(c.ResolveMax, DefaultResolveMax)
	c.UpstreamRumorRate = cmp.Or(c.UpstreamRumorRate, DefaultUpstreamRumorRate)
	c.UpstreamRumorBurst = cmp.Or(c.UpstreamRumorBurst, DefaultUpstreamRumorBurst)
	c.Self.State = cmp.Or(c.Self.State, Alive)
	c.Self.Version = cmp.Or(c.Self.Version, uint64(time.Now().UnixMilli()))
	return c
}

// upstreamTTL returns how long a rumor that an upstream is in state st is valid.
func (c Config) upstreamTTL(st UpstreamState) time.Duration {
	if st == UpstreamLeaving {
		return c.LeavingTTL
	}
	return c.DeadTTL
}
