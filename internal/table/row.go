// Package table holds the two tables that operators edit, routes and pools, as
// immutable values, with the rules that an edit must keep.
//
//	tables := table.New()
//	problems := tables.Check(edit)
package table

import (
	"fmt"
	"slices"
	"time"
)

// PoolKind is what the upstreams of a pool do.
type PoolKind int

// The kinds of pools. The zero Kind is invalid.
const (
	KindEncoder PoolKind = iota + 1
	KindRetriever
	KindReranker
	KindEngine
	KindService
)

var kindNames = [...]string{
	KindEncoder:   "encoder",
	KindRetriever: "retriever",
	KindReranker:  "reranker",
	KindEngine:    "engine",
	KindService:   "service",
}

// ParsePoolKind returns the kind with the given name.
func ParsePoolKind(name string) (PoolKind, error) {
	for k := KindEncoder; k <= KindService; k++ {
		if kindNames[k] == name {
			return k, nil
		}
	}
	return 0, fmt.Errorf("unknown pool kind %q: use encoder, retriever, reranker, engine or service", name)
}

// String returns the kind's name, or "unknown".
func (k PoolKind) String() string {
	if !k.valid() {
		return "unknown"
	}
	return kindNames[k]
}

func (k PoolKind) valid() bool { return k >= KindEncoder && k <= KindService }

// Stage is one step of a route.
type Stage struct {
	Name string
	// Pool names the pool that runs the stage.
	Pool string
	// NonIdempotent marks a stage that has an effect and runs at most once.
	NonIdempotent bool
	// Cacheable allows a finished result to serve an equal input again.
	Cacheable bool
	// Timeout bounds one attempt. Zero means the route's deadline.
	Timeout time.Duration
	// Model is required on a pool of engines.
	Model string
	// MaxTokens bounds what an engine generates. Zero means the engine's default.
	MaxTokens int
}

// Route says what one kind of request needs: its stages in order and a deadline.
type Route struct {
	Name     string
	Stages   []Stage
	Deadline time.Duration
}

// HasNonIdempotentStage reports whether the route has a stage that may not be repeated.
func (r Route) HasNonIdempotentStage() bool {
	return slices.ContainsFunc(r.Stages, func(st Stage) bool { return st.NonIdempotent })
}

// Share is the weight of one workspace in a pool. A workspace without a share
// has weight 1.
type Share struct {
	Workspace string
	Weight    int
}

// Pool says what capacity exists: the upstreams of one service on the host list.
type Pool struct {
	Name    string
	Kind    PoolKind
	Service string
	// Concurrency is the number of requests that one upstream takes at once.
	Concurrency int
	Shares      []Share
	// Models are the models that the pool's upstreams serve.
	Models []string
	// ChecksFencing says that the upstreams refuse an order with an old fencing number.
	ChecksFencing bool
}

// Row is a value of a table with the offset of the edit that set it.
type Row[T any] struct {
	Value    T
	Revision uint64
}

// RouteRow is a row of the table of routes.
type RouteRow = Row[Route]

// PoolRow is a row of the table of pools.
type PoolRow = Row[Pool]

// Problem is one reason why an edit is refused.
type Problem struct {
	Field   string
	Message string
}

// String returns the field and what is wrong with it.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Message
	}
	return p.Field + ": " + p.Message
}
