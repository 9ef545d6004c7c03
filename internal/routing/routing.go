// Package routing holds the routes of opaque HTTP requests: which service handles them,
// which may be retried, and which stages run first. A Table is immutable.
//
//	t := routing.New(cfg)
//	route, ok := t.Match("api.example", "/orders/7")
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sequoiafork/internal/coldstart"
)

// Kind is the kind of a request: whether it may be retried and whether its response is a
// stream.
type Kind int

// The request kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests get a stream of events as response and run at most once.
	Stream
	// ResumableStream requests get a stream of events as response, which may continue at
	// another upstream after the last event that was forwarded.
	ResumableStream
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "not_repeatable"
	case Stream:
		return "stream"
	case ResumableStream:
		return "resumable_stream"
	}
	return "unknown"
}

// Streams reports whether the response is a stream of events.
func (k Kind) Streams() bool { return k == Stream || k == ResumableStream }

// Retryable reports whether a request may be retried after an attempt that may have run.
func (k Kind) Retryable() bool { return k == Idempotent || k == ResumableStream }

// Target is a service that receives a weighted share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Stage is work that runs before a request is forwarded to its target. Its work consists of
// pieces, which run on their own and in batches with others.
type Stage struct {
	Service string
	// DependsOn lists the indexes of the stages whose results are this one's inputs.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// DefaultTimeout is the timeout of requests for which neither their caller nor their route sets one.
const DefaultTimeout = time.Minute

// maxAttempts bounds Route.MaxAttempts, since each request reserves memory for its attempts.
const maxAttempts = 64

// Route defines how the requests to a host under a path prefix are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller waits for the response.
	Timeout time.Duration
	// LatencyObjective is the latency objective of the response, for streams that of the
	// first event. Responses that start later are of less use to the caller. Stages are
	// scheduled and requests are hedged by it.
	LatencyObjective time.Duration
	// EventGapObjective is the latency objective between two events of a stream.
	EventGapObjective time.Duration
	// Priority orders requests; zero runs first.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the attempts at one request that an upstream may have run. A Table bounds it to 0 to 64.
	MaxAttempts int
	Stages      []Stage
	// Public routes accept requests without an API key.
	Public bool
	// SharedPromptPrefixes reports that requests share prompt prefixes.
	SharedPromptPrefixes bool
}

// PickService picks the service for a request by weight, using a hash of the request.
func (r Route) PickService(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := int(hash % uint64(total))
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return ""
}

// Splits reports whether requests of the route go to more than one service.
func (r Route) Splits() bool {
	services := make(map[string]bool)
	for _, t := range r.Targets {
		if t.Weight > 0 {
			services[t.Service] = true
		}
	}
	return len(services) > 1
}

// EngineSpec is the capacity of one model engine.
type EngineSpec struct {
	Slots       int
	CacheTokens int
}

// BatchSpec is the capacity of one upstream that runs stages in batches.
type BatchSpec struct {
	// Concurrency is the number of calls that run at once.
	Concurrency int
	// MaxSize is the maximum number of pieces in a call.
	MaxSize int
	// CallOverhead is the fixed time of a call, ItemTime the additional time of a piece.
	CallOverhead time.Duration
	ItemTime     time.Duration
	// ResultMemoryBytes is the memory for stage results.
	ResultMemoryBytes int64
	// ResultLifetime is how long a result is kept unless it is freed earlier.
	ResultLifetime time.Duration
}

// Service is a service with the capacity of each of its upstreams. Engine is nil unless
// they are engines (model servers), Batch unless they run stages.
type Service struct {
	Name       string
	MaxConns   int
	HealthPath string
	Engine     *EngineSpec
	Batch      *BatchSpec
	// Cold is how the upstreams behave while they are cold.
	Cold coldstart.Spec
}

// Workspace is a customer with the API keys of its callers.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds the size of a caller's request and the time that sending it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is the content of a table.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// KeysOptional reports that requests need no API key on any route. Otherwise those on routes that are not public need
	// one, and none is accepted while no workspace has any.
	KeysOptional bool
	Limits       Limits
}

// Table is one version of all routes. It is safe for concurrent use.
type Table struct {
	version  uint64
	limits   Limits
	byHost   map[string][]Route
	services map[string]Service
	// workspaces are those that have keys, by key.
	workspaces   map[string]Workspace
	keysOptional bool
}

// New returns a Table with the content of cfg.
func New(cfg Config) *Table {
	t := &Table{
		version:      cfg.Version,
		limits:       cfg.Limits,
		byHost:       make(map[string][]Route),
		services:     make(map[string]Service, len(cfg.Services)),
		workspaces:   make(map[string]Workspace),
		keysOptional: cfg.KeysOptional,
	}
	for _, r := range cfg.Routes {
		r.MaxAttempts = min(max(r.MaxAttempts, 0), maxAttempts)
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for _, s := range cfg.Services {
		t.services[s.Name] = s
	}
	for _, w := range cfg.Workspaces {
		for _, key := range w.Keys {
			t.workspaces[key] = w
		}
	}
	return t
}

// Version returns the version, which increases with each change.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of a host with the longest path prefix that matches path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Routes returns the routes, in no particular order.
func (t *Table) Routes() []Route {
	var list []Route
	for _, routes := range t.byHost {
		list = append(list, routes...)
	}
	return list
}

// LongestTimeout returns the longest timeout of the routes of a kind, zero if there is no such route. A route without a
// timeout has the default one.
func (t *Table) LongestTimeout(k Kind) time.Duration {
	longest := time.Duration(0)
	for _, routes := range t.byHost {
		for _, r := range routes {
			if r.Kind == k {
				longest = max(longest, r.timeout())
			}
		}
	}
	return longest
}

// timeout returns the timeout of requests of callers without one.
func (r Route) timeout() time.Duration {
	if r.Timeout <= 0 {
		return DefaultTimeout
	}
	return r.Timeout
}

// Service returns the service with a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services in unspecified order.
func (t *Table) Services() []Service {
	list := make([]Service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, s)
	}
	return list
}

// Workspace returns the workspace of an API key. No key is none, also if a workspace lists the empty one.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok && key != ""
}

// RequiresKey reports whether requests on routes that are not public need an API key.
func (t *Table) RequiresKey() bool { return !t.keysOptional }
