// Package operatorhttptest provides a fake daemon for tests of the operator API and its
// clients. It keeps the tables in memory and can inject faults.
package operatorhttptest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync"

	"sequoiafork/internal/operatorhttp"
	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/operatorapi"
)

// Daemon keeps tables in memory and applies edits immediately. The zero value has empty
// tables and is ready to use. It is safe for concurrent use.
type Daemon struct {
	mu       sync.Mutex
	tables   *table.Tables
	statuses map[string]operatorhttp.EditStatus
	edits    map[string]table.Edit
	offset   uint64
	fault    string
	notReady bool
}

// Faults that SetFault injects.
const (
	// FaultUnknown reports the outcome of an edit as unknown and does not apply it.
	FaultUnknown = "unknown"
	// FaultLateUnknown reports the outcome of an edit as unknown and applies it.
	FaultLateUnknown = "late_unknown"
	// FaultRefuse rejects an edit, as when the log is down.
	FaultRefuse = "refuse"
	// FaultLoseReply applies an edit and closes the connection without a response.
	FaultLoseReply = "lose_reply"
	// FaultLoseRequest closes the connection without applying the edit.
	FaultLoseRequest = "lose_request"
	// FaultNotReady makes the daemon respond as one that has read no tables yet.
	FaultNotReady = "not_ready"
)

// SetFault sets the fault from now on. An empty string clears it.
func (d *Daemon) SetFault(fault string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
	d.notReady = fault == FaultNotReady
}

// Config returns a configuration of the operator API that calls this daemon.
func (d *Daemon) Config() operatorhttp.Config {
	return operatorhttp.Config{
		Editor:             d,
		Tables:             d,
		Hosts:              d,
		Dumper:             d,
		Drainer:            d,
		PropagationTimeout: -1,
	}
}

// Wrap returns a handler that aborts the connections of edits under FaultLoseReply and
// FaultLoseRequest, and calls next for other requests.
func (d *Daemon) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		fault := d.fault
		d.mu.Unlock()
		isEdit := r.Method != http.MethodGet && !strings.HasSuffix(r.URL.Path, "/drain")
		if isEdit && fault == FaultLoseReply {
			next.ServeHTTP(discardWriter{}, r)
		}
		if isEdit && (fault == FaultLoseReply || fault == FaultLoseRequest) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is a response that is thrown away.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

// Submit implements operatorhttp.Editor.
func (d *Daemon) Submit(_ context.Context, e table.Edit) (operatorhttp.EditStatus, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch d.fault {
	case FaultRefuse:
		return operatorhttp.EditStatus{}, errors.New("the log refuses appends")
	case FaultUnknown:
		return operatorhttp.EditStatus{
			State: operatorhttp.Unknown,
		}, nil
	case FaultLateUnknown:
		d.applyLocked(e)
		return operatorhttp.EditStatus{
			State: operatorhttp.Unknown,
		}, nil
	}
	return d.applyLocked(e), nil
}

func (d *Daemon) applyLocked(e table.Edit) operatorhttp.EditStatus {
	d.offset++
	tables := d.tablesLocked()
	name, pool := e.Target()
	s := operatorhttp.EditStatus{
		State:    operatorhttp.Accepted,
		Name:     name,
		IsPool:   pool,
		Revision: d.offset,
	}
	if tables.RevisionOf(e) != e.BaseRevision {
		s.State = operatorhttp.Conflict
	} else {
		d.tables = tables.WithChange(e.Change, d.offset)
	}
	if d.statuses == nil {
		d.statuses = map[string]operatorhttp.EditStatus{}
		d.edits = map[string]table.Edit{}
	}
	d.edits[e.ID] = e
	d.statuses[e.ID] = s
	return s
}

// Lookup implements operatorhttp.Editor.
func (d *Daemon) Lookup(_ context.Context, id string) (operatorhttp.EditStatus, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statuses[id], nil
}

// LookupEdit implements operatorhttp.Editor.
func (d *Daemon) LookupEdit(ctx context.Context, e table.Edit) (operatorhttp.EditStatus, error) {
	status, err := d.Lookup(ctx, e.ID)
	d.mu.Lock()
	defer d.mu.Unlock()
	if first, ok := d.edits[e.ID]; ok && !reflect.DeepEqual(first.Change, e.Change) {
		status.State = operatorhttp.Refused
		status.Problems = []table.Problem{
			{
				Field:   "edit_id",
				Message: "was used for another change: take a new ID",
			},
		}
	}
	return status, err
}

func (d *Daemon) tablesLocked() *table.Tables {
	if d.tables == nil {
		d.tables = table.New()
	}
	return d.tables
}

// Tables implements operatorhttp.Tables.
func (d *Daemon) Tables() *table.Tables {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tablesLocked()
}

// Ready implements operatorhttp.Tables.
func (d *Daemon) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.notReady
}

// Daemons implements operatorhttp.Hosts. Of the three daemons, the first has applied all
// edits, the second lags by one and the third is dead.
func (d *Daemon) Daemons() []operatorapi.Daemon {
	revision := int64(d.Tables().Revision())
	daemon := func(n int, state string, revision int64) operatorapi.Daemon {
		return operatorapi.Daemon{
			Incarnation:  fmt.Sprintf("192.0.2.%d:7003/%d", n, n),
			DataCentre:   fmt.Sprintf("dc-%d", n),
			CallerAddr:   fmt.Sprintf("192.0.2.%d:7001", n),
			OperatorAddr: operatorapi.NewOptString(fmt.Sprintf("192.0.2.%d:7002", n)),
			State:        state,
			Revision:     revision,
		}
	}
	return []operatorapi.Daemon{
		daemon(1, "alive", revision),
		daemon(2, "alive", max(revision-1, 0)),
		daemon(3, "dead", 0),
	}
}

// Upstreams implements operatorhttp.Hosts.
func (d *Daemon) Upstreams() []operatorapi.Upstream {
	return []operatorapi.Upstream{
		{
			Addr:       "192.0.2.30:9000",
			Service:    "rerank",
			DataCentre: "dc-1",
			State:      "live",
			InFlight:   operatorapi.NewOptInt(3),
		},
		{
			Addr:       "192.0.2.31:9000",
			Service:    "rerank",
			DataCentre: "dc-2",
			State:      "leaving",
			InFlight:   operatorapi.NewOptInt(0),
			Reason:     operatorapi.NewOptString("answered <leaving>"),
		},
	}
}

// Dump implements operatorhttp.Dumper.
func (d *Daemon) Dump() ([]byte, error) {
	return fmt.Appendf(nil, `{"incarnation":"192.0.2.1:7003/1","data_centre":"dc-1","state":"serving",`+
		`"ready":%t,"in_flight":7,"revision":%d,"requests":{"in_flight":7}}`, d.Ready(), d.Tables().Revision()), nil
}

// Drain implements operatorhttp.Drainer.
func (d *Daemon) Drain() operatorapi.DrainState {
	return operatorapi.DrainState{
		State:    "leaving",
		InFlight: 2,
	}
}
