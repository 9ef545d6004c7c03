package cli

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/operatorclient"
	"sequoiafork/internal/rowtext"
	"sequoiafork/internal/wire/operatorapi"
)

const (
	// maxLookups is the maximum number of attempts to look up an edit whose response was
	// lost.
	maxLookups    = 3
	lookupBackoff = 300 * time.Millisecond
)

// edit is a change of one row, with the request that sends it.
type edit struct {
	rowType string
	params  editParams
	send    func(context.Context, *operatorapi.Client, editParams) (*operatorapi.EditResult, error)
}

// sendEdit sends an edit once and prints its outcome. If the response is lost the
// edit is looked up by its ID; it is never sent again.
func (a *app) sendEdit(ctx context.Context, e edit) error {
	client, err := a.operatorClient()
	if err != nil {
		return err
	}
	var result *operatorapi.EditResult
	send := func(ctx context.Context, c *operatorapi.Client) (err error) {
		result, err = e.send(ctx, c, e.params)
		return err
	}
	if e.params.dryRun {
		err = client.Query(ctx, send)
	} else {
		err = client.Command(ctx, send)
	}
	var lostResponse *operatorclient.LostResponseError
	if errors.As(err, &lostResponse) {
		result = a.lookUpEdit(ctx, e.params.id)
	} else if err != nil {
		return err
	}
	return a.printEditResult(result, e.rowType+" "+e.params.name, &e.params.base)
}

// lookUpEdit looks up the outcome of an edit whose response was lost. The outcome is
// unknown if no daemon has applied the edit's log record after maxLookups attempts.
func (a *app) lookUpEdit(ctx context.Context, id string) *operatorapi.EditResult {
	for attempt := range maxLookups {
		if attempt > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(lookupBackoff):
			}
		}
		result, err := a.showEdit(ctx, id)
		if err == nil && result.State != operatorapi.EditResultStateNotFound {
			return result
		}
	}
	return &operatorapi.EditResult{
		EditID:  id,
		State:   operatorapi.EditResultStateUnknown,
		Message: "the response was lost",
	}
}

// errNotApplied reports that a daemon has not applied the log record of an edit, so that
// the next daemon is queried.
var errNotApplied = errors.New("the daemon has not applied the edit's record")

// showEdit queries the daemons in turn until one has applied the edit's log record.
func (a *app) showEdit(ctx context.Context, id string) (*operatorapi.EditResult, error) {
	var result *operatorapi.EditResult
	err := a.query(ctx, func(ctx context.Context, c *operatorapi.Client) error {
		shown, err := c.ShowEdit(ctx, operatorapi.ShowEditParams{
			EditID: id,
		})
		if err != nil {
			return err
		}
		result = shown
		if shown.State == operatorapi.EditResultStateNotFound {
			return errNotApplied
		}
		return nil
	})
	if result != nil {
		return result, nil
	}
	return nil, err
}

func (a *app) editCommand() *ffcli.Command {
	show := a.leafCommand(a.flagSet("show"), "show", "sequoiafork edit show ID", "outcome of an edit", func(ctx context.Context, args []string) error {
		id, err := singleArg("edit", args)
		if err != nil {
			return err
		}
		result, err := a.showEdit(ctx, id)
		if err != nil {
			return err
		}
		return a.printEditResult(result, "edit "+id, nil)
	})
	return a.groupCommand(a.flagSet("edit"), "edit", "sequoiafork edit show ID", "edits by their IDs", show)
}

// printEditResult prints the outcome of an edit and returns the matching exit code.
func (a *app) printEditResult(r *operatorapi.EditResult, subject string, base *int64) error {
	if a.json {
		if err := a.printJSON(r); err != nil {
			return err
		}
	} else {
		a.printEditText(r, subject, base)
	}
	code := editExitCodes[r.State]
	if code == ExitOK {
		return nil
	}
	return &ExitError{
		Code: code,
	}
}

func (a *app) printEditText(r *operatorapi.EditResult, subject string, base *int64) {
	p := a.printer()
	state := strings.ReplaceAll(string(r.State), "_", " ")
	p.linef("%s: %s", state, subject)
	if base != nil {
		p.linef("base revision %d", *base)
	}
	switch r.State {
	case operatorapi.EditResultStateUnknown, operatorapi.EditResultStateNotFound:
		p.linef("%s", r.Message)
		p.linef("unknown: run")
		p.linef("sequoiafork edit show %s", r.EditID)
		return
	}
	if revision, ok := r.Revision.Get(); ok {
		p.linef("now revision %d", revision)
	}
	if len(r.Problems) == 0 {
		p.linef("%s", r.Message)
	}
	printProblems(p, r.Problems)
	printCurrentRow(p, r)
	if r.State != operatorapi.EditResultStateDryRun {
		p.linef("edit %s", r.EditID)
	}
}

// printCurrentRow prints the current row that an edit conflicts with, if there is one.
func printCurrentRow(p printer, r *operatorapi.EditResult) {
	if route, ok := r.RouteNow.Get(); ok {
		p.linef("%s r%d:", route.Name, route.Revision)
		p.lines(" ", rowtext.FormatRoute(route.Route))
	}
	if pool, ok := r.PoolNow.Get(); ok {
		p.linef("%s r%d:", pool.Name, pool.Revision)
		p.lines(" ", rowtext.FormatPool(pool.Pool))
	}
}
