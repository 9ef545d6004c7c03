package confsync_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/confsync"
	"sequoiafork/internal/fold"
	"sequoiafork/internal/logservice"
	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/recordpb"
)

// maxApplyDelay bounds the time until a daemon has applied an accepted edit.
const maxApplyDelay = 5 * time.Second

// model is the test oracle. It covers pools only, and is built from the complete log.
type model struct {
	rows     map[string]modelRow
	accepted map[string]modelEdit
	resolved map[string]bool
}

type modelRow struct {
	revision    uint64
	concurrency int64
}

// modelEdit is an edit of one pool.
type modelEdit struct {
	offset      uint64
	name        string
	concurrency int64
	deletes     bool
}

func applyModel(records []logservice.Record) model {
	m := model{
		rows:     make(map[string]modelRow),
		accepted: make(map[string]modelEdit),
		resolved: make(map[string]bool),
	}
	for _, rec := range records {
		var r recordpb.Record
		e := r.GetEdit()
		if proto.Unmarshal(rec.Data, &r) == nil {
			e = r.GetEdit()
		}
		if e == nil || m.resolved[e.GetEditId()] {
			continue
		}
		m.resolved[e.GetEditId()] = true
		row, exists := m.rows[e.GetName()]
		valid := e.GetPool().GetConcurrency() > 0 || e.GetDelete() && exists
		if row.revision != e.GetBaseRevision() || !valid {
			continue
		}
		m.accepted[e.GetEditId()] = modelEdit{
			offset:      rec.Offset,
			name:        e.GetName(),
			concurrency: e.GetPool().GetConcurrency(),
			deletes:     e.GetDelete(),
		}
		if e.GetDelete() {
			delete(m.rows, e.GetName())
			continue
		}
		m.rows[e.GetName()] = modelRow{
			revision:    rec.Offset,
			concurrency: e.GetPool().GetConcurrency(),
		}
	}
	return m
}

func (m model) compare(t *table.Tables) error {
	if len(t.Pools()) != len(m.rows) {
		return fmt.Errorf("tables have %d rows, want %d", len(t.Pools()), len(m.rows))
	}
	for _, row := range t.Pools() {
		got := modelRow{
			revision:    row.Revision,
			concurrency: int64(row.Value.Concurrency),
		}
		if want := m.rows[row.Value.Name]; got != want {
			return fmt.Errorf("row %s is %+v, want %+v", row.Value.Name, got, want)
		}
	}
	return nil
}

// submitResponse is the response that an operator received to an edit.
type submitResponse struct {
	id     string
	edit   modelEdit
	result confsync.EditResult
	err    error
}

// check compares a response with the outcome according to the complete log.
func (m model) check(r submitResponse, sentBefore bool) error {
	edit, accepted := m.accepted[r.id]
	refused, _ := errors.AsType[*logservice.RejectedError](r.err)
	r.edit.offset = edit.offset
	accepted = accepted && r.edit == edit
	switch {
	case r.err != nil && refused != nil && !sentBefore && m.resolved[r.id]:
		return fmt.Errorf("edit %s: reported as not appended, but it was", r.id)
	case r.err != nil || r.result.State == confsync.Unknown:
		return nil
	case r.result.State == confsync.Accepted && (!accepted || r.result.Revision != edit.offset):
		return fmt.Errorf("edit %s: reported as accepted at %d for %+v, the log accepted %+v", r.id, r.result.Revision, r.edit, edit)
	case r.result.State != confsync.Accepted && accepted:
		return fmt.Errorf("edit %s: reported as %v, the log accepted it at %d", r.id, r.result.State, edit.offset)
	}
	return nil
}

// maxLeaseFree bounds how long a lease stays free while a ready daemon reads the log:
// the old lease term, the next attempt of a lease holder and a margin.
const maxLeaseFree = 2*leaseTTL + 3*time.Second

// invariantChecker checks the invariants of a cluster.
type invariantChecker struct {
	cluster      *cluster
	digests      map[uint64]fold.Digest
	lastProgress map[*process]progress
	unapplied    map[uint64]map[*process]time.Time
	// owners holds, by key, the process that has ever observed itself as the owner.
	owners map[fold.KeyHash]string
	// leaseFreeSince is the time since which no daemon has held the lease although one
	// could.
	leaseFreeSince time.Time
}

type progress struct {
	next     uint64
	revision uint64
	// logEndAtStart is the log's end when the process started, or zero if it has been
	// unable to read the log at some time since.
	logEndAtStart uint64
}

func newInvariantChecker(c *cluster) *invariantChecker {
	return &invariantChecker{
		cluster:        c,
		digests:        make(map[uint64]fold.Digest),
		lastProgress:   make(map[*process]progress),
		unapplied:      make(map[uint64]map[*process]time.Time),
		owners:         make(map[fold.KeyHash]string),
		leaseFreeSince: time.Now(),
	}
}

func (w *invariantChecker) accepted(offset uint64) {
	w.unapplied[offset] = make(map[*process]time.Time)
}

func (w *invariantChecker) check() error {
	holders := 0
	for _, d := range w.cluster.daemons {
		p := d.process()
		if err := w.checkState(d, p); err != nil {
			return err
		}
		if err := w.checkClaims(p); err != nil {
			return err
		}
		if err := w.checkApplied(d, p); err != nil {
			return err
		}
		if _, held := p.leaseHolder.Held(); held {
			holders++
		}
	}
	return w.checkLease(holders)
}

func (w *invariantChecker) checkLease(holders int) error {
	if holders > 1 {
		return fmt.Errorf("%d daemons hold the lease", holders)
	}
	available := slices.ContainsFunc(w.cluster.daemons, func(d *daemon) bool {
		m := d.process().machine
		return d.readsLog() && m.Ready() && m.NextOffset() >= d.cluster.log.firstRetained()
	})
	if holders == 1 || !available {
		w.leaseFreeSince = time.Now()
	}
	if free := time.Since(w.leaseFreeSince); free > maxLeaseFree {
		return fmt.Errorf("the lease was free for %v", free)
	}
	return nil
}

// checkClaims fails if two processes, of which one may be dead, have observed
// themselves as the owner of one key. A claim is a log record that assigns a key to one
// incarnation.
func (w *invariantChecker) checkClaims(p *process) error {
	for i := range keys {
		key := fold.KeyHash{byte(i)}
		claim, ok := p.machine.Claim(key)
		if !ok || claim.Owner != p.name {
			continue
		}
		if owner, taken := w.owners[key]; taken && owner != p.name {
			return fmt.Errorf("key %d is owned by %s and by %s", i, owner, p.name)
		}
		w.owners[key] = p.name
	}
	return nil
}

func (w *invariantChecker) checkState(d *daemon, p *process) error {
	covered, digest := p.machine.Digest()
	if other, ok := w.digests[covered]; ok && other != digest {
		return fmt.Errorf("%s: the state at offset %d differs from that of other daemons", p.name, covered)
	}
	w.digests[covered] = digest
	current := progress{
		next:     covered + 1,
		revision: p.machine.Revision(),
	}
	previous, known := w.lastProgress[p]
	if current.logEndAtStart = previous.logEndAtStart; !known {
		current.logEndAtStart = w.cluster.log.end()
	}
	if !d.readsLog() {
		current.logEndAtStart = 0
	}
	if p.machine.Ready() && current.next < current.logEndAtStart {
		return fmt.Errorf("%s: ready at %+v", p.name, current)
	}
	if current.next < previous.next || current.revision < previous.revision {
		return fmt.Errorf("%s: moved backward from %+v to %+v", p.name, previous, current)
	}
	w.lastProgress[p] = current
	if n := p.machine.Counters().SnapshotMismatches; n > 0 {
		return fmt.Errorf("%s: %d snapshots differ", p.name, n)
	}
	return nil
}

// checkApplied fails if a daemon could receive an accepted edit for longer than
// maxApplyDelay and has not applied it.
func (w *invariantChecker) checkApplied(d *daemon, p *process) error {
	for offset, since := range w.unapplied {
		if p.machine.NextOffset() > offset {
			continue
		}
		if _, ok := since[p]; !ok || !d.canReceive(offset) {
			since[p] = time.Now()
		}
		if time.Since(since[p]) > maxApplyDelay {
			return fmt.Errorf("%s: edit at offset %d not applied after %v, next offset %d, ready %v", p.name, offset, maxApplyDelay, p.machine.NextOffset(), p.machine.Ready())
		}
	}
	return nil
}
