package cli

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/editid"
	"sequoiafork/internal/wire/operatorapi"
)

func setCommand[Spec any](a *app, t rowTable[Spec]) *ffcli.Command {
	var flags editFlags
	fs := a.flagSet("set")
	flags.register(fs)
	fs.StringVar(&flags.file, "file", "", "read the row from a JSON file; -: standard input")
	usage := "sequoiafork " + t.rowType + " set NAME KEY=VALUE..."
	cmd := a.leafCommand(fs, "set", usage, "create or change a row", func(ctx context.Context, args []string) error {
		switch {
		case len(args) == 0:
			return badInput("give a %s name and %s", t.rowType, t.syntax)
		case len(args) == 1 && flags.file == "":
			return badInput("say what to set, such as %s", t.syntax)
		}
		return setRow(ctx, a, t, flags, args[0], args[1:])
	})
	cmd.LongHelp = t.syntax
	return cmd
}

func setRow[Spec any](ctx context.Context, a *app, t rowTable[Spec], flags editFlags, name string, fields []string) error {
	// Check the syntax before any request is sent.
	if _, err := t.apply(*new(Spec), fields); err != nil {
		return err
	}
	current, err := currentRow(ctx, a, t, name)
	if err != nil {
		return err
	}
	spec, base := current.spec, current.revision
	if flags.file != "" {
		fileBase, err := readRowFile(a, t.rowType, flags.file, &spec)
		if err != nil {
			return err
		}
		if fileBase != nil {
			base = *fileBase
		}
	}
	if flags.base != baseUnset {
		base = flags.base
	}
	if spec, err = t.apply(spec, fields); err != nil {
		return err
	}
	return a.sendEdit(ctx, edit{
		rowType: t.rowType,
		params:  a.editParams(name, base, flags.dryRun),
		send: func(ctx context.Context, c *operatorapi.Client, params editParams) (*operatorapi.EditResult, error) {
			return t.set(ctx, c, spec, params)
		},
	})
}

func deleteCommand[Spec any](a *app, t rowTable[Spec]) *ffcli.Command {
	var flags editFlags
	fs := a.flagSet("delete")
	flags.register(fs)
	usage := "sequoiafork " + t.rowType + " delete NAME"
	return a.leafCommand(fs, "delete", usage, "remove a row", func(ctx context.Context, args []string) error {
		name, err := singleArg(t.rowType, args)
		if err != nil {
			return err
		}
		base := flags.base
		if base == baseUnset {
			current, err := currentRow(ctx, a, t, name)
			if err != nil {
				return err
			}
			base = current.revision
		}
		return a.sendEdit(ctx, edit{
			rowType: t.rowType,
			params:  a.editParams(name, base, flags.dryRun),
			send:    t.remove,
		})
	})
}

// currentRow returns the row from a daemon, or a row of revision zero if it doesn't exist.
func currentRow[Spec any](ctx context.Context, a *app, t rowTable[Spec], name string) (row[Spec], error) {
	var current row[Spec]
	err := a.query(ctx, func(ctx context.Context, c *operatorapi.Client) (err error) {
		current, err = t.show(ctx, c, name)
		return err
	})
	var status *operatorapi.ErrorStatusCode
	if errors.As(err, &status) && status.StatusCode == http.StatusNotFound {
		return row[Spec]{
			name: name,
		}, nil
	}
	return current, err
}

// readRowFile reads a row's spec from a file into spec. It returns the row's revision if
// the file has one.
func readRowFile(a *app, rowType, path string, spec any) (*int64, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(a.input)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, badInput("read the row: %w", err)
	}
	var file rowFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, badInput("%s is not JSON: %w", path, err)
	}
	specData, revision, err := file.spec(rowType, data)
	if err != nil {
		return nil, badInput("%s: %w", path, err)
	}
	if err := json.Unmarshal(specData, spec); err != nil {
		return nil, badInput("%s: %w", path, err)
	}
	return revision, nil
}

func (a *app) editParams(name string, base int64, dryRun bool) editParams {
	return editParams{
		name:   name,
		base:   base,
		id:     editid.New(),
		dryRun: dryRun,
		author: a.author,
	}
}

func setRoute(ctx context.Context, c *operatorapi.Client, spec operatorapi.RouteSpec, p editParams) (*operatorapi.EditResult, error) {
	return c.SetRoute(ctx, &spec, operatorapi.SetRouteParams{
		Name:         p.name,
		BaseRevision: p.base,
		EditID:       operatorapi.NewOptString(p.id),
		DryRun:       operatorapi.NewOptBool(p.dryRun),
		Author:       operatorapi.NewOptString(p.author),
	})
}

func deleteRoute(ctx context.Context, c *operatorapi.Client, p editParams) (*operatorapi.EditResult, error) {
	return c.DeleteRoute(ctx, operatorapi.DeleteRouteParams{
		Name:         p.name,
		BaseRevision: p.base,
		EditID:       operatorapi.NewOptString(p.id),
		DryRun:       operatorapi.NewOptBool(p.dryRun),
		Author:       operatorapi.NewOptString(p.author),
	})
}

func setPool(ctx context.Context, c *operatorapi.Client, spec operatorapi.PoolSpec, p editParams) (*operatorapi.EditResult, error) {
	return c.SetPool(ctx, &spec, operatorapi.SetPoolParams{
		Name:         p.name,
		BaseRevision: p.base,
		EditID:       operatorapi.NewOptString(p.id),
		DryRun:       operatorapi.NewOptBool(p.dryRun),
		Author:       operatorapi.NewOptString(p.author),
	})
}

func deletePool(ctx context.Context, c *operatorapi.Client, p editParams) (*operatorapi.EditResult, error) {
	return c.DeletePool(ctx, operatorapi.DeletePoolParams{
		Name:         p.name,
		BaseRevision: p.base,
		EditID:       operatorapi.NewOptString(p.id),
		DryRun:       operatorapi.NewOptBool(p.dryRun),
		Author:       operatorapi.NewOptString(p.author),
	})
}
