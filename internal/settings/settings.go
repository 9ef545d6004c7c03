// Package settings reads the settings of sequoiaforkd from an INI file, flags
// and the environment, and checks every field.
//
// A flag takes precedence over an environment variable, which takes precedence
// over the file. All errors are reported together:
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

// Kinds of platform: the first has an append-only log and a host list, the second a log
// with keyed topics that holds both.
const (
	PlatformKindLog      = "log"
	PlatformKindKeyedLog = "keyed_log"
)

// Values of workspace_shares: whether the capacity for stages is shared between workspaces when it is exceeded.
const (
	SharesOff  = "off"
	SharesFair = "fair"
)

// Settings holds all settings of a daemon.
type Settings struct {
	Daemon    Daemon
	Peers     Peers
	Platform  Platform
	Limits    Limits
	Drain     Drain
	Keys      IdempotencyKeys
	Retry     Retry
	Upstreams Upstreams
	Hedge     Hedge
	Admission Admission
	Log       Log
}

// Daemon configures where the daemon runs and listens.
type Daemon struct {
	DataCentre   string
	CallerAddr   string
	OperatorAddr string
	PeerAddr     string
	// Cores is the processor time that the daemon may use, in cores. Zero means that it is not known.
	Cores float64
	// MemoryMB is the memory that the daemon may use, in megabytes. Zero means that it is not known.
	MemoryMB float64
}

// Peers configures how to find the other daemons.
type Peers struct {
	// Seeds are peer addresses of other daemons. Empty for a single daemon.
	Seeds []string
}

// Platform configures the addresses of the platform's services and the load put on them.
type Platform struct {
	// Kind is PlatformKindLog or PlatformKindKeyedLog. It decides which of the addresses
	// are required.
	Kind      string
	StoreAddr string
	// StoreWritesPerSecond is the number of writes that the store takes from all daemons together.
	StoreWritesPerSecond float64
	ReadyAddr            string
	DirectoryAddr        string
	LogAddr              string
	LogStream            string
	LogTimeout           time.Duration
	LogAppendsPerSecond  float64
	SnapshotEveryRecords int64
	HostListAddr         string
	HostListInterval     time.Duration
	// WeightStoreAddr may be empty. The daemon then assigns no models to engines.
	WeightStoreAddr string
	// PlacementLease is the duration of the lease to assign models to engines.
	PlacementLease time.Duration
}

// Limits bounds the resources that callers and operators can use.
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

// Drain configures how long the phases of a graceful stop take.
type Drain struct {
	// ResolveTTL is how long callers cache resolved addresses. A draining daemon keeps serving for as
	// long, with PlatformKindKeyedLog for three times as long.
	ResolveTTL time.Duration
	// Grace bounds the wait for requests in flight after that, with PlatformKindKeyedLog from the start
	// of draining until the process ends.
	Grace time.Duration
}

// IdempotencyKeys configures how long idempotency keys are retained.
type IdempotencyKeys struct {
	// ResultWindow is how long a key and its response are retained.
	ResultWindow time.Duration
}

// Retry configures the budget that retries and hedges share.
type Retry struct {
	// Ratio is the number of retries and hedges allowed per recent call.
	Ratio float64
	// Burst is the number of retries and hedges allowed at once.
	Burst int64
}

// Upstreams configures how soon leaving upstreams get no requests, and how much cold ones get.
type Upstreams struct {
	// LeaveBound is how long after the store lists an upstream as leaving, or no longer, a daemon may still send it
	// requests. It is used only with PlatformKindKeyedLog.
	LeaveBound time.Duration
	// ColdOver and ColdSlack bound the requests that a cold upstream gets in any second from all daemons
	// together: ColdOver times its cold rate, and ColdSlack more. They are used only for services with a cold rate.
	ColdOver  float64
	ColdSlack float64
}

// Hedge configures second attempts at requests that are slow for their kind.
type Hedge struct {
	// ExtraWork is the limit of their work as a share of the work of a pool. At zero there are none.
	ExtraWork float64
}

// Admission configures which requests are served when there are more than there is capacity for.
type Admission struct {
	// WorkspaceShares is SharesOff or SharesFair.
	WorkspaceShares string
}

// Log configures what is logged and in which format.
type Log struct {
	Level  string
	Format string
}
