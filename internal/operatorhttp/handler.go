// Package operatorhttp serves the operator HTTP API: reading and editing the tables of
// routes and pools, listing hosts, dumping the state of the daemon and draining it.
//
// The wire field in_force is the number of daemons that have applied the revision of an
// edit.
//
//	server, err := operatorhttp.New(operatorhttp.Config{
//		Editor: editor,
//		Tables: machine,
//		Hosts:  hosts,
//		Dumper: dumper,
//		Drainer: drainer,
//	})
package operatorhttp

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/operatorapi"
)

// EditStatus describes what this daemon knows about an edit. It does not include the
// current row of a conflict, which the handler reads from Tables.
type EditStatus struct {
	State EditState
	// Name is the row's name, and IsPool reports whether the row is a pool rather than a
	// route. Both are zero if the row is not known.
	Name   string
	IsPool bool
	// Revision is the row's revision after an accepted edit.
	Revision uint64
	// Reason describes why the edit was refused or its outcome is unknown.
	Reason   string
	Problems []table.Problem
}

// EditState is the outcome of an edit as far as this daemon knows it.
type EditState int

// The outcomes of an edit. NotFound means that this daemon has read no record of the
// edit yet. Unknown means that the edit may have been appended to the log, but this
// daemon doesn't know its outcome.
const (
	NotFound EditState = iota
	Accepted
	Conflict
	Refused
	Unknown
)

// Editor changes the tables.
type Editor interface {
	// Submit appends an edit to the log and returns its outcome. Unknown means that it
	// may have been appended. An error means that it was not.
	Submit(ctx context.Context, e table.Edit) (EditStatus, error)
	// Lookup returns what is known about an earlier edit.
	Lookup(ctx context.Context, id string) (EditStatus, error)
	// LookupEdit returns what is known about an earlier submission of an edit. It is
	// Refused if the edit's ID was used for another change.
	LookupEdit(ctx context.Context, e table.Edit) (EditStatus, error)
}

// Tables provides the current tables.
type Tables interface {
	Tables() *table.Tables
	// Ready reports whether the daemon has read a revision of the tables.
	Ready() bool
}

// Hosts lists the daemons and upstreams that this daemon knows, with their states.
type Hosts interface {
	Daemons() []operatorapi.Daemon
	Upstreams() []operatorapi.Upstream
}

// Dumper returns the state of the process as JSON.
type Dumper interface {
	Dump() ([]byte, error)
}

// Drainer starts the graceful shutdown. Further calls have no effect.
type Drainer interface {
	Drain() operatorapi.DrainState
}

// DefaultPropagationTimeout is the default of Config.PropagationTimeout.
const DefaultPropagationTimeout = time.Second

// Config holds what the handler calls. Every interface is required.
type Config struct {
	Editor  Editor
	Tables  Tables
	Hosts   Hosts
	Dumper  Dumper
	Drainer Drainer
	// PropagationTimeout bounds how long the response to an accepted edit is delayed
	// until all daemons have applied it. Zero means DefaultPropagationTimeout; a
	// negative value means no delay.
	PropagationTimeout time.Duration
}

// Handler implements operatorapi.Handler.
type Handler struct {
	config Config
}

// NewHandler returns the handler without its HTTP server, for package operatorpage.
func NewHandler(config Config) *Handler {
	if config.PropagationTimeout == 0 {
		config.PropagationTimeout = DefaultPropagationTimeout
	}
	return &Handler{
		config: config,
	}
}

// New returns the HTTP handler of the operator API. It rejects cross-origin commands of
// browsers (CSRF).
func New(config Config) (http.Handler, error) {
	server, err := operatorapi.NewServer(NewHandler(config),
		operatorapi.WithErrorHandler(writeError),
		operatorapi.WithNotFound(notFound),
		operatorapi.WithMethodNotAllowed(methodNotAllowed),
	)
	if err != nil {
		return nil, fmt.Errorf("create operator API server: %w", err)
	}
	return http.NewCrossOriginProtection().Handler(server), nil
}
