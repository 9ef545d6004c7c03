package confsync

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/logservice"
	"sequoiafork/internal/table"
)

// DefaultSubmitTimeout bounds how long Submit waits to learn how an edit was
// settled, if its context has no deadline.
const DefaultSubmitTimeout = 10 * time.Second

// maxUnresolved bounds the edits that are remembered as unsettled.
const maxUnresolved = 10_000

// EditorConfig configures an Editor.
type EditorConfig struct {
	Log     Log
	Machine *fold.StateMachine
	// SubmitTimeout bounds the wait of Submit. Zero means DefaultSettleTimeout.
	SubmitTimeout time.Duration
}

// Editor submits edits of operators. It is safe for concurrent use.
type Editor struct {
	config  EditorConfig
	machine *fold.StateMachine

	mu sync.Mutex
	// unresolved counts, by edit ID, the appends that may yet take effect.
	unresolved map[string]int
}

// NewEditor returns an editor.
func NewEditor(c EditorConfig) *Editor {
	c.SubmitTimeout = cmp.Or(c.SubmitTimeout, DefaultSubmitTimeout)
	return &Editor{
		config:     c,
		machine:    c.Machine,
		unresolved: make(map[string]int),
	}
}

// Submit appends an edit and waits to learn how it was settled. Submitting an ID
// again returns how it was settled before. An error means that this call did not
// make the edit: *NotReadyError, *BehindError, or *logservice.RefusedError.
//
// An edit that can't be valid on any tables is refused here. All else is settled by
// the log, also if the tables here already tell against it: an earlier append of
// the same ID, by any daemon, may yet land on other tables.
func (e *Editor) Submit(ctx context.Context, edit table.Edit) (EditResult, error) {
	ctx, cancel := context.WithTimeout(ctx, e.config.SubmitTimeout)
	defer cancel()
	if problems := table.Validate(edit); len(problems) > 0 {
		return refusedResult(edit.ID, problems), nil
	}
	if err := e.waitForBase(ctx, edit); err != nil {
		return EditResult{}, err
	}
	if outcome, ok := e.machine.Edit(edit.ID); ok {
		return e.resolvedResult(edit, outcome), nil
	}
	data, err := fold.EncodeEdit(edit)
	if err != nil {
		return EditResult{}, err
	}
	e.addUnresolved(edit.ID)
	offset, err := e.config.Log.AppendEdit(ctx, data)
	if refused, ok := errors.AsType[*logservice.RefusedError](err); ok {
		e.removeUnresolved(edit.ID)
		if e.isUnresolved(edit.ID) {
			return unknownResult(edit.ID), nil
		}
		return EditResult{}, refused
	}
	return e.awaitOutcome(ctx, edit, offset), nil
}

// waitForBase waits until the revision that the edit was made against was read here.
func (e *Editor) waitForBase(ctx context.Context, edit table.Edit) error {
	if !e.machine.Ready() {
		return &NotReadyError{}
	}
	if edit.BaseRevision < e.machine.NextOffset() {
		return nil
	}
	if err := e.machine.Wait(ctx, edit.BaseRevision+1); err != nil {
		return &RevisionNotReadError{
			BaseRevision: edit.BaseRevision,
			Revision:     e.machine.Revision(),
		}
	}
	return nil
}

// awaitOutcome waits for the edit to be read back. Offset is zero if the append's reply
// was lost.
func (e *Editor) awaitOutcome(ctx context.Context, edit table.Edit, offset uint64) EditResult {
	for {
		next := e.machine.NextOffset()
		if outcome, ok := e.machine.Edit(edit.ID); ok {
			e.forget(edit.ID)
			return e.resolvedResult(edit, outcome)
		}
		passed := offset != 0 && next > offset
		if passed || e.machine.Wait(ctx, next+1) != nil {
			return unknownResult(edit.ID)
		}
	}
}

// addUnresolved notes an append before it is made.
func (e *Editor) addUnresolved(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.unresolved) >= maxUnresolved {
		clear(e.unresolved)
	}
	e.unresolved[id]++
}

// removeUnresolved takes back an append that certainly had no effect.
func (e *Editor) removeUnresolved(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresolved[id]--
	if e.unresolved[id] <= 0 {
		delete(e.unresolved, id)
	}
}

// forget drops an edit that is settled.
func (e *Editor) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.unresolved, id)
}

func (e *Editor) isUnresolved(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unresolved[id] > 0
}
