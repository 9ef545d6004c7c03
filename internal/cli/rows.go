package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/rowtext"
	"sequoiafork/internal/wire/operatorapi"
)

// row is one row of a table.
type row[Spec any] struct {
	name     string
	revision int64
	spec     Spec
	// wire is the row in wire format, which -json prints.
	wire any
}

// rowList holds all rows of a table.
type rowList[Spec any] struct {
	revision int64
	rows     []row[Spec]
	// wire is the list in wire format, which -json prints.
	wire any
}

// editParams holds the parameters that every edit of a row has.
type editParams struct {
	name   string
	base   int64
	id     string
	dryRun bool
	author string
}

// rowTable holds the operations on one of the two tables.
type rowTable[Spec any] struct {
	// rowType is "route" or "pool", also the name of the JSON field with a row's spec.
	rowType string
	// syntax is an example of the key=value fields.
	syntax string
	list   func(context.Context, *operatorapi.Client) (rowList[Spec], error)
	show   func(context.Context, *operatorapi.Client, string) (row[Spec], error)
	set    func(context.Context, *operatorapi.Client, Spec, editParams) (*operatorapi.EditResult, error)
	remove func(context.Context, *operatorapi.Client, editParams) (*operatorapi.EditResult, error)
	apply  func(Spec, []string) (Spec, error)
	format func(Spec) []string
	// summary formats a spec for a list, in a line or two.
	summary func(Spec) string
}

func (a *app) routeCommand() *ffcli.Command {
	return rowCommand(a, routes())
}

func (a *app) poolCommand() *ffcli.Command {
	return rowCommand(a, pools())
}

func rowCommand[Spec any](a *app, t rowTable[Spec]) *ffcli.Command {
	help := "the table of " + t.rowType + "s"
	return a.groupCommand(a.flagSet(t.rowType), t.rowType, "sequoiafork "+t.rowType+" COMMAND", help,
		listCommand(a, t),
		showCommand(a, t),
		setCommand(a, t),
		deleteCommand(a, t),
	)
}

func listCommand[Spec any](a *app, t rowTable[Spec]) *ffcli.Command {
	return a.leafCommand(a.flagSet("list"), "list", "sequoiafork "+t.rowType+" list", "all rows", func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return badInput("%s list takes no name: use %s show", t.rowType, t.rowType)
		}
		var all rowList[Spec]
		err := a.query(ctx, func(ctx context.Context, c *operatorapi.Client) (err error) {
			all, err = t.list(ctx, c)
			return err
		})
		if err != nil {
			return err
		}
		if a.json {
			return a.printJSON(all.wire)
		}
		p := a.printer()
		p.linef("revision %d, %d %ss", all.revision, len(all.rows), t.rowType)
		for _, r := range all.rows {
			p.linef("%s r%d", r.name, r.revision)
			p.wrapped(" ", t.summary(r.spec))
		}
		return nil
	})
}

func showCommand[Spec any](a *app, t rowTable[Spec]) *ffcli.Command {
	return a.leafCommand(a.flagSet("show"), "show", "sequoiafork "+t.rowType+" show NAME", "one row", func(ctx context.Context, args []string) error {
		name, err := singleArg(t.rowType, args)
		if err != nil {
			return err
		}
		var r row[Spec]
		err = a.query(ctx, func(ctx context.Context, c *operatorapi.Client) (err error) {
			r, err = t.show(ctx, c, name)
			return err
		})
		if err != nil {
			return err
		}
		if a.json {
			return a.printJSON(r.wire)
		}
		p := a.printer()
		p.linef("%s %s, revision %d", t.rowType, r.name, r.revision)
		p.lines("", t.format(r.spec))
		return nil
	})
}

// singleArg returns the only argument, which must not be empty. What names its kind.
func singleArg(what string, args []string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", badInput("give one %s name", what)
	}
	return args[0], nil
}

// editFlags are the flags of commands that change a row.
type editFlags struct {
	dryRun bool
	base   int64
	file   string
}

// baseUnset means that an edit is based on the row's revision when the command runs.
const baseUnset = -1

func (e *editFlags) register(fs *flag.FlagSet) {
	fs.BoolVar(&e.dryRun, "dry-run", false, "show what would change")
	fs.Int64Var(&e.base, "base", baseUnset, "revision that the edit is made against; 0: no such row yet")
}

// rowFile is a row as "show -json" prints it, or only its spec.
type rowFile struct {
	Revision *int64          `json:"revision"`
	Route    json.RawMessage `json:"route"`
	Pool     json.RawMessage `json:"pool"`
}

// spec returns the row's spec and its revision, if the file has one. A file without a
// route or pool field is the spec itself.
func (f rowFile) spec(rowType string, data []byte) ([]byte, *int64, error) {
	spec := f.Route
	if rowType == "pool" {
		spec = f.Pool
	}
	if spec != nil {
		return spec, f.Revision, nil
	}
	if f.Route != nil || f.Pool != nil {
		return nil, nil, fmt.Errorf("the file holds no %s", rowType)
	}
	return data, nil, nil
}

func routes() rowTable[operatorapi.RouteSpec] {
	return rowTable[operatorapi.RouteSpec]{
		rowType: "route",
		syntax:  "deadline=4s stages=encode:enc,generate:llm/model-a/64tok,commit:orders!",
		list:    listRoutes,
		show:    showRoute,
		set:     setRoute,
		remove:  deleteRoute,
		apply:   rowtext.ApplyRoute,
		format:  rowtext.FormatRoute,
		summary: routeSummary,
	}
}

func pools() rowTable[operatorapi.PoolSpec] {
	return rowTable[operatorapi.PoolSpec]{
		rowType: "pool",
		syntax:  "kind=reranker service=rerank concurrency=8",
		list:    listPools,
		show:    showPool,
		set:     setPool,
		remove:  deletePool,
		apply:   rowtext.ApplyPool,
		format:  rowtext.FormatPool,
		summary: poolSummary,
	}
}
