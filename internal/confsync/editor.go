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

// DefaultSubmitTimeout bounds how long Submit waits for the outcome of an edit.
const DefaultSubmitTimeout = 10 * time.Second

// maxUnresolved is the maximum number of edits that are tracked as unresolved. When it is
// reached, the next append forgets all of them.
const maxUnresolved = 10_000

// EditorConfig configures an Editor.
type EditorConfig struct {
	Log     Log
	Machine *fold.StateMachine
	// SubmitTimeout bounds the wait of Submit. Zero means DefaultSubmitTimeout.
	SubmitTimeout time.Duration
}

// Editor submits operators' edits. It is safe for concurrent use.
type Editor struct {
	config  EditorConfig
	machine *fold.StateMachine

	mu sync.Mutex
	// unresolved counts, by edit ID, the appends that may still take effect.
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

// Submit appends an edit and waits for its outcome. Submitting an ID again returns
// the earlier outcome. An error, such as *NotReadyError, *RevisionNotReadError or
// *logservice.RejectedError, means that this call did not make the edit.
//
// An edit that is invalid whatever the tables contain is rejected at once. All others
// are decided by their place in the log, even if they conflict with the tables of this
// daemon: an earlier append of the same ID, by any daemon, may still be applied to
// different tables.
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
	if refused, ok := errors.AsType[*logservice.RejectedError](err); ok {
		e.removeUnresolved(edit.ID)
		if e.isUnresolved(edit.ID) {
			return unknownResult(edit.ID), nil
		}
		return EditResult{}, refused
	}
	return e.awaitOutcome(ctx, edit, offset), nil
}

// waitForBase waits until this daemon has applied the edit's base revision.
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

// awaitOutcome waits until the edit is read back from the log. Offset is zero if the
// response to the append was lost.
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

// addUnresolved records an append that is about to be made. At maxUnresolved edits it
// first forgets all of them; Lookup then reports them as NotFound instead of Unknown.
func (e *Editor) addUnresolved(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.unresolved) >= maxUnresolved {
		clear(e.unresolved)
	}
	e.unresolved[id]++
}

// removeUnresolved removes an append that certainly had no effect.
func (e *Editor) removeUnresolved(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresolved[id]--
	if e.unresolved[id] <= 0 {
		delete(e.unresolved, id)
	}
}

// forget removes an edit whose outcome is known.
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
