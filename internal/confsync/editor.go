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

// maxUnsettled bounds the edits that are remembered as unsettled.
const maxUnsettled = 10_000

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
	// unsettled counts, by edit ID, the appends that may yet take effect.
	unsettled map[string]int
}

// NewEditor returns an editor.
func NewEditor(c EditorConfig) *Editor {
	c.SubmitTimeout = cmp.Or(c.SubmitTimeout, DefaultSubmitTimeout)
	return &Editor{
		config:    c,
		machine:   c.Machine,
		unsettled: make(map[string]int),
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
	if err := e.reachBase(ctx, edit); err != nil {
		return EditResult{}, err
	}
	if outcome, ok := e.machine.Edit(edit.ID); ok {
		return e.settled(edit, outcome), nil
	}
	data, err := fold.EncodeEdit(edit)
	if err != nil {
		return EditResult{}, err
	}
	e.addUnsettled(edit.ID)
	offset, err := e.config.Log.AppendEdit(ctx, data)
	if refused, ok := errors.AsType[*logservice.RefusedError](err); ok {
		e.removeUnsettled(edit.ID)
		if e.isUnsettled(edit.ID) {
			return unknownResult(edit.ID), nil
		}
		return EditResult{}, refused
	}
	return e.settle(ctx, edit, offset), nil
}

// reachBase waits until the revision that the edit was made against was read here.
func (e *Editor) reachBase(ctx context.Context, edit table.Edit) error {
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

// settle waits for the edit to be read back. Offset is zero if the append's reply
// was lost.
func (e *Editor) settle(ctx context.Context, edit table.Edit, offset uint64) EditResult {
	for {
		next := e.machine.NextOffset()
		if outcome, ok := e.machine.Edit(edit.ID); ok {
			e.forget(edit.ID)
			return e.settled(edit, outcome)
		}
		passed := offset != 0 && next > offset
		if passed || e.machine.Wait(ctx, next+1) != nil {
			return unknownResult(edit.ID)
		}
	}
}

// addUnsettled notes an append before it is made.
func (e *Editor) addUnsettled(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.unsettled) >= maxUnsettled {
		clear(e.unsettled)
	}
	e.unsettled[id]++
}

// removeUnsettled takes back an append that certainly had no effect.
func (e *Editor) removeUnsettled(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unsettled[id]--
	if e.unsettled[id] <= 0 {
		delete(e.unsettled, id)
	}
}

// forget drops an edit that is settled.
func (e *Editor) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.unsettled, id)
}

func (e *Editor) isUnsettled(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unsettled[id] > 0
}
