package daemon

import (
	"context"

	"sequoiafork/internal/confsync"
	"sequoiafork/internal/operatorhttp"
	"sequoiafork/internal/table"
)

// edits implements the edits of the operator API.
type edits struct {
	daemon *Daemon
}

// Submit implements operatorhttp.Editor.
func (e edits) Submit(ctx context.Context, edit table.Edit) (operatorhttp.EditStatus, error) {
	name, pool := edit.Target()
	res, err := e.daemon.editor.Submit(ctx, edit)
	if err != nil {
		return operatorhttp.EditStatus{}, err
	}
	s := editStatus(res)
	s.Name = name
	s.IsPool = pool
	return s, nil
}

// Lookup implements operatorhttp.Editor.
func (e edits) Lookup(_ context.Context, id string) (operatorhttp.EditStatus, error) {
	s := editStatus(e.daemon.editor.Lookup(id))
	if o, ok := e.daemon.machine.Edit(id); ok {
		s.Name = o.RowName
		s.IsPool = o.IsPool
	}
	return s, nil
}

// LookupEdit implements operatorhttp.Editor.
func (e edits) LookupEdit(_ context.Context, edit table.Edit) (operatorhttp.EditStatus, error) {
	s := editStatus(e.daemon.editor.LookupEdit(edit))
	if o, ok := e.daemon.machine.Edit(edit.ID); ok {
		s.Name = o.RowName
		s.IsPool = o.IsPool
	}
	return s, nil
}

func editStatus(r confsync.EditResult) operatorhttp.EditStatus {
	s := operatorhttp.EditStatus{
		Revision: r.Revision,
		Reason:   r.Message,
		Problems: r.Problems,
	}
	switch r.State {
	case confsync.Accepted:
		s.State = operatorhttp.Accepted
	case confsync.Conflict:
		s.State = operatorhttp.Conflict
	case confsync.Refused:
		s.State = operatorhttp.Refused
	case confsync.Unknown:
		s.State = operatorhttp.Unknown
	case confsync.NotFound:
		s.State = operatorhttp.NotFound
	}
	return s
}
