// Package table holds the rows of the routes and pools tables.
package table

import (
	"fmt"
	"time"
)

// Kind is the kind of upstream that a pool consists of.
type Kind int

// The kinds of upstreams.
const (
	Encoder Kind = iota
	Retriever
	Reranker
	Engine
	Service
)

var kindNames = [...]string{"encoder", "retriever", "reranker", "engine", "service"}

// ParseKind returns the kind with the given name.
func ParseKind(s string) (Kind, error) {
	for i, name := range kindNames {
		if name == s {
			return Kind(i), nil
		}
	}
	return 0, fmt.Errorf("unknown pool kind %q", s)
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Stage is one step of a route.
type Stage struct {
	Name          string
	Pool          string
	NotRepeatable bool
	Reusable      bool
	Timeout       time.Duration
	Model         string
	MaxTokens     int
}

// Route says what one kind of request needs.
type Route struct {
	Name     string
	Stages   []Stage
	Deadline time.Duration
}

// Share is the weight of one workspace in a pool.
type Share struct {
	Workspace string
	Weight    int
}

// Pool says what capacity exists.
type Pool struct {
	Name          string
	Kind          Kind
	Service       string
	Concurrency   int
	Shares        []Share
	Models        []string
	ChecksFencing bool
}

// Row is a value with the revision that set it.
type Row[T any] struct {
	Value    T
	Revision uint64
}
