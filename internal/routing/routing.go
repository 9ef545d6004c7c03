// Package routing holds the routes of opaque HTTP requests: which service answers
// them, what may be repeated, and which stages come before. A Table is immutable.
//
//	t := routing.New(cfg)
//	route, ok := t.Match("api.example", "/orders/7")
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by events and run at most once.
	Stream
	// ResumableStream requests are answered by events and may go on at another
	// upstream after the last event that was passed on.
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

// Streams reports whether the answer is a stream of events.
func (k Kind) Streams() bool { return k == Stream || k == ResumableStream }

// Retryable reports whether a request may be sent again after it may have run.
func (k Kind) Retryable() bool { return k == Idempotent || k == ResumableStream }

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Stage is work that is done before a request goes to its target.
type Stage struct {
	Service string
	// DependsOn lists the stages whose results this one takes as inputs.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Route says how the requests of a host under a path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is worth most, for streams the
	// time to the first event.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream.
	GapObjective time.Duration
	// Priority orders requests; zero goes first.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	Stages      []Stage
	// Public routes take requests without a key.
	Public bool
	// SharedPromptPrefixes says that requests share the beginnings of their prompts.
	SharedPromptPrefixes bool
}

// PickService returns the service for a request, by weight, from a hash of the request.
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

// EngineSpec is the capacity of one model engine.
type EngineSpec struct {
	Slots       int
	CacheTokens int
}

// BatchSpec is the capacity of one upstream that does stages in batches.
type BatchSpec struct {
	// Concurrency is the number of calls worked on at once.
	Concurrency int
	// MaxSize is the largest number of pieces in a call.
	MaxSize int
	// CallOverhead is the time of a call beside its pieces, ItemTime that of a piece.
	CallOverhead time.Duration
	ItemTime     time.Duration
	// ResultMemoryBytes is the memory for results.
	ResultMemoryBytes int64
	// ResultLifetime is how long a result that nobody frees is kept.
	ResultLifetime time.Duration
}

// Service says what one upstream of a service can do. Engine and Batch are nil for
// plain services.
type Service struct {
	Name       string
	MaxConns   int
	HealthPath string
	Engine     *EngineSpec
	Batch      *BatchSpec
}

// Workspace is a customer with the keys of its callers.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what a caller may send and how long it may take.
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
	Limits     Limits
}

// Table is one version of all routes. It is safe for concurrent use.
type Table struct {
	version    uint64
	limits     Limits
	byHost     map[string][]Route
	services   map[string]Service
	workspaces map[string]Workspace
}

// New returns a table.
func New(cfg Config) *Table {
	t := &Table{
		version:    cfg.Version,
		limits:     cfg.Limits,
		byHost:     make(map[string][]Route),
		services:   make(map[string]Service, len(cfg.Services)),
		workspaces: make(map[string]Workspace),
	}
	for _, r := range cfg.Routes {
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

// Version returns the version, which grows with each change.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds towards callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of a host whose path prefix is the longest that begins path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services in no order.
func (t *Table) Services() []Service {
	list := make([]Service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, s)
	}
	return list
}

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// RequiresKey reports whether requests on routes that are not public need a key.
func (t *Table) RequiresKey() bool { return len(t.workspaces) > 0 }
