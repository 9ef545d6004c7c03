// Package settings reads the settings of sequoiaforkd from an INI file, flags
// and the environment, and checks every field.
//
// A flag goes before an environment variable, which goes before the file. All
// errors are reported together:
//
//	s, err := settings.Load("sequoiaforkd.ini", nil, settings.EnvPrefix)
//	var problems *settings.ProblemsError
//	if errors.As(err, &problems) {
//		// problems.Problems names each section, key, value and what is allowed.
//	}
package settings

import "time"

// EnvPrefix begins the names of the environment variables that the daemon
// reads: SEQUOIAFORKD_LIMITS_MAX_IN_FLIGHT sets max_in_flight of [limits].
const EnvPrefix = "SEQUOIAFORKD"

// Kinds of platform.
const (
	PlatformKindLog      = "log"
	PlatformKindKeyedLog = "keyed_log"
)

// Settings is everything a daemon is told when it starts.
type Settings struct {
	Daemon   Daemon
	Peers    Peers
	Platform Platform
	Limits   Limits
	Drain    Drain
	Keys     IdempotencyKeys
	Retry    Retry
	Log      Log
}

// Daemon says where the daemon runs and listens.
type Daemon struct {
	DataCentre   string
	CallerAddr   string
	OperatorAddr string
	PeerAddr     string
}

// Peers says how to find the other daemons.
type Peers struct {
	// Seeds are peer addresses of other daemons. Empty for a lone daemon.
	Seeds []string
}

// Platform says where the platform's services are and how much to ask of them.
type Platform struct {
	// Kind is KindLog or KindKeyedLog. It says which of the addresses are set.
	Kind                 string
	StoreAddr            string
	ReadyAddr            string
	DirectoryAddr        string
	LogAddr              string
	LogStream            string
	LogTimeout           time.Duration
	LogAppendsPerSecond  float64
	SnapshotEveryRecords int64
	HostListAddr         string
	HostListInterval     time.Duration
	// WeightStoreAddr may be empty. Nothing uses it yet.
	WeightStoreAddr string
	// PlacementLease is how long the lease to order models lasts.
	PlacementLease time.Duration
}

// Limits bounds what callers and operators can make the daemon hold.
type Limits struct {
	MaxBodyBytes      int64
	MaxHeaderBytes    int64
	MaxConnections    int64
	MaxInFlight       int64
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	WriteTimeout      time.Duration
	IdleTimeout       time.Duration
}

// Drain says how long the parts of a graceful stop take.
type Drain struct {
	// ResolveTTL is how long callers keep an answer about addresses.
	ResolveTTL time.Duration
	// Grace bounds the wait for requests in flight after that.
	Grace time.Duration
}

// IdempotencyKeys says how idempotency keys are remembered.
type IdempotencyKeys struct {
	// ResultWindow is how long a key and its answer are remembered.
	ResultWindow time.Duration
}

// Retry is the budget that retries and hedges share.
type Retry struct {
	// Ratio is the share of recent calls that may be sent again.
	Ratio float64
	// Burst is the number that may be sent again at once.
	Burst int64
}

// Log says what is logged and in which form.
type Log struct {
	Level  string
	Format string
}
