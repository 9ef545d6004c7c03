// Package operatorhttp serves the operators' HTTP interface: the two tables,
// their edits, the hosts, the dump and the drain.
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

// EditStatus is what is known of an edit.
type EditStatus struct {
	State EditState
	// Name of the row and whether it is a pool; empty when not known.
	Name string
	Pool bool
	// Revision of the row after an accepted edit.
	Revision uint64
	// Reason says why the edit was refused or is unknown.
	Reason   string
	Problems []table.Problem
}

// EditState is how an edit was settled.
type EditState int

// The states of an edit. NotFound says that no record of it was read so far.
const (
	NotFound EditState = iota
	Accepted
	Conflict
	Refused
	Unknown
)

// Editor changes the tables.
type Editor interface {
	// Submit appends an edit and returns how it was settled. Unknown means that
	// it may have been appended. An error means that it certainly wasn't.
	Submit(ctx context.Context, e table.Edit) (EditStatus, error)
	// Lookup returns what is known of an earlier edit.
	Lookup(ctx context.Context, id string) (EditStatus, error)
}

// Tables reads the tables.
type Tables interface {
	Tables() *table.Tables
	// Ready says whether the daemon has a revision of the tables.
	Ready() bool
}

// Hosts lists daemons and upstreams as this daemon sees them.
type Hosts interface {
	Daemons() []operatorapi.Daemon
	Upstreams() []operatorapi.Upstream
}

// Dumper returns the state of the process as JSON.
type Dumper interface {
	Dump() ([]byte, error)
}

// Drainer starts the graceful stop. A second call changes nothing.
type Drainer interface {
	Drain() operatorapi.DrainState
}

// DefaultPropagationTimeout is how long the answer to an accepted edit waits for the
// other daemons.
const DefaultPropagationTimeout = time.Second

// Config holds what the handler calls. Every interface is required.
type Config struct {
	Editor  Editor
	Tables  Tables
	Hosts   Hosts
	Dumper  Dumper
	Drainer Drainer
	// PropagationTimeout bounds how long the answer to an accepted edit waits until the
	// edit is in force on all daemons. Zero means DefaultInForceWait; less than
	// zero, no wait.
	PropagationTimeout time.Duration
}

// Handler implements operatorapi.Handler.
type Handler struct {
	config Config
}

// NewHandler returns a handler without its HTTP server, for the phone page.
func NewHandler(config Config) *Handler {
	if config.PropagationTimeout == 0 {
		config.PropagationTimeout = DefaultPropagationTimeout
	}
	return &Handler{
		config: config,
	}
}

// New returns the HTTP handler of the operators' interface. Commands that another
// site's page makes a browser send are refused.
func New(config Config) (http.Handler, error) {
	server, err := operatorapi.NewServer(NewHandler(config),
		operatorapi.WithErrorHandler(writeError),
		operatorapi.WithNotFound(notFound),
		operatorapi.WithMethodNotAllowed(methodNotAllowed),
	)
	if err != nil {
		return nil, fmt.Errorf("operators' interface: %w", err)
	}
	return http.NewCrossOriginProtection().Handler(server), nil
}
