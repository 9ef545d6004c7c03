// Package table implements the two tables that operators edit, routes and pools, as
// immutable values, and validates edits to them.
//
//	tables := table.New()
//	problems := tables.Check(edit)
package table

import (
	"fmt"
	"slices"
	"time"
)

// PoolKind is the kind of work that the upstreams of a pool do.
type PoolKind int

// The kinds of pools. The zero PoolKind is invalid.
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
	// NonIdempotent marks a stage with side effects, which runs at most once.
	NonIdempotent bool
	// Cacheable allows a result to be cached and reused for an equal input.
	Cacheable bool
	// Timeout bounds one attempt. Zero means the route's deadline.
	Timeout time.Duration
	// Model names the model to run. It is required on a pool of engines.
	Model string
	// MaxTokens is the maximum number of tokens that an engine generates. Zero means
	// the engine's default.
	MaxTokens int
}

// Route defines how one kind of request is processed: its stages in order and its
// deadline.
type Route struct {
	Name     string
	Stages   []Stage
	Deadline time.Duration
}

// HasNonIdempotentStage reports whether the route has a stage that runs at most once.
func (r Route) HasNonIdempotentStage() bool {
	return slices.ContainsFunc(r.Stages, func(st Stage) bool { return st.NonIdempotent })
}

// Share is the weight of one workspace in the division of a pool's capacity. A
// workspace without a share has weight 1.
type Share struct {
	Workspace string
	Weight    int
}

// Pool is capacity for stages: the upstreams of one service in the host list.
type Pool struct {
	Name    string
	Kind    PoolKind
	Service string
	// Concurrency is the maximum number of concurrent requests to one upstream.
	Concurrency int
	Shares      []Share
	// Models are the models that the pool's upstreams serve.
	Models []string
	// ChecksFencing reports that the upstreams reject a command with an outdated fencing
	// token.
	ChecksFencing bool
}

// Row is a value in a table. Its revision is the offset of the edit that set it.
type Row[T any] struct {
	Value    T
	Revision uint64
}

// RouteRow is a row of the table of routes.
type RouteRow = Row[Route]

// PoolRow is a row of the table of pools.
type PoolRow = Row[Pool]

// Problem is one reason for rejecting an edit.
type Problem struct {
	Field   string
	Message string
}

// String returns the field, if there is one, and the message.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Message
	}
	return p.Field + ": " + p.Message
}
