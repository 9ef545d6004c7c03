package confsync

import (
	"context"
	"errors"
	"sync"
	"time"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/logservice"
	"sequoiafork/internal/table"
)

// DefaultSettleTimeout bounds how long Submit waits to learn how an edit was
// settled, if its context has no deadline.
const DefaultSettleTimeout = 10 * time.Second

// maxUnsettled bounds the edits that are remembered as unsettled.
const maxUnsettled = 10_000

// EditorConfig configures an Editor.
type EditorConfig struct {
	Log     Log
	Machine *fold.Machine
	// SettleTimeout bounds the wait of Submit. Zero means DefaultSettleTimeout.
	SettleTimeout time.Duration
}

// Editor submits edits of operators. It is safe for concurrent use.
type Editor struct {
	config  EditorConfig
	machine *fold.Machine

	mu sync.Mutex
	// unsettled holds edits whose append may yet take effect.
	unsettled map[string]bool
}

// NewEditor returns an editor.
func NewEditor(c EditorConfig) *Editor {
	setDefault(&c.SettleTimeout, DefaultSettleTimeout)
	return &Editor{
		config:    c,
		machine:   c.Machine,
		unsettled: make(map[string]bool),
	}
}

// Submit appends an edit and waits to learn how it was settled. Submitting an ID
// again returns how it was settled before. An error means that the edit was not
// made: *NotReadyError, *BehindError, or *logservice.RefusedError.
func (e *Editor) Submit(ctx context.Context, edit table.Edit) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, e.config.SettleTimeout)
	defer cancel()
	if err := e.reachBase(ctx, edit); err != nil {
		return Result{}, err
	}
	if outcome, ok := e.machine.Edit(edit.ID); ok {
		return e.settled(edit, outcome), nil
	}
	if result, ok := e.reject(edit); ok {
		if e.isUnsettled(edit.ID) {
			return unknownResult(edit.ID), nil
		}
		return result, nil
	}
	data, err := fold.EncodeEdit(edit)
	if err != nil {
		return Result{}, err
	}
	offset, err := e.config.Log.AppendEdit(ctx, data)
	if refused, ok := errors.AsType[*logservice.RefusedError](err); ok {
		if e.isUnsettled(edit.ID) {
			return unknownResult(edit.ID), nil
		}
		return Result{}, refused
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
		return &BehindError{
			BaseRevision: edit.BaseRevision,
			Revision:     e.machine.Revision(),
		}
	}
	return nil
}

// settle waits for the edit to be read back. Offset is zero if the append's reply
// was lost.
func (e *Editor) settle(ctx context.Context, edit table.Edit, offset uint64) Result {
	for {
		next := e.machine.NextOffset()
		if outcome, ok := e.machine.Edit(edit.ID); ok {
			return e.settled(edit, outcome)
		}
		passed := offset != 0 && next > offset
		if passed || e.machine.Wait(ctx, next+1) != nil {
			e.setUnsettled(edit.ID)
			return unknownResult(edit.ID)
		}
	}
}

// setUnsettled remembers that an append of the edit may yet take effect.
func (e *Editor) setUnsettled(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.unsettled) >= maxUnsettled {
		clear(e.unsettled)
	}
	e.unsettled[id] = true
}

func (e *Editor) isUnsettled(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unsettled[id]
}
