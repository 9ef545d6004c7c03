package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/operatorhttp"
	"sequoiafork/internal/settings"
	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/operatorapi"
)

// settingsExtension is the file name extension of settings files.
const settingsExtension = ".ini"

// tableFile is a file with rows of one or both tables. Rows holds rows of either table,
// as "route list -json" and "pool list -json" print them; Routes and Pools hold the rows
// of one table each.
type tableFile struct {
	Routes []operatorapi.RouteRow `json:"routes"`
	Pools  []operatorapi.PoolRow  `json:"pools"`
	Rows   []json.RawMessage      `json:"rows"`
}

func (a *app) checkCommand() *ffcli.Command {
	cmd := a.leafCommand(a.flagSet("check"), "check", "sequoiafork check FILE...", "check settings (.ini) and tables (JSON), offline", func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return badInput("give files: settings (.ini) or tables (JSON)")
		}
		return a.check(args)
	})
	cmd.LongHelp = "tables: what list -json prints, or\n {\"pools\":[...],\"routes\":[...]}"
	return cmd
}

// check checks all files and prints every problem. The rows of all table files are
// checked together, pools first because routes refer to them.
func (a *app) check(paths []string) error {
	var problems []operatorapi.Problem
	var tables tableFile
	for _, path := range paths {
		if filepath.Ext(path) == settingsExtension {
			found, err := checkSettings(path)
			if err != nil {
				return err
			}
			problems = append(problems, found...)
			continue
		}
		if err := readTables(path, &tables); err != nil {
			return err
		}
	}
	problems = append(problems, checkTables(tables)...)
	return a.printCheck(len(paths), problems)
}

func (a *app) printCheck(files int, problems []operatorapi.Problem) error {
	if a.json {
		if err := a.printJSON(checkReport{
			Problems: problems,
		}); err != nil {
			return err
		}
	} else {
		p := a.printer()
		p.linef("%d files, %d problems", files, len(problems))
		printProblems(p, problems)
	}
	if len(problems) == 0 {
		return nil
	}
	return &ExitError{
		Code: ExitRefused,
	}
}

// checkReport is the JSON output of the check command.
type checkReport struct {
	Problems []operatorapi.Problem `json:"problems"`
}

func checkSettings(path string) ([]operatorapi.Problem, error) {
	_, err := settings.Load(path, nil, "")
	var found *settings.ProblemsError
	if !errors.As(err, &found) {
		if err != nil {
			return nil, badInput("%s: %w", path, err)
		}
		return nil, nil
	}
	var problems []operatorapi.Problem
	for _, p := range found.Problems {
		problems = append(problems, operatorapi.Problem{
			Field:   path,
			Message: p.String(),
		})
	}
	return problems, nil
}

func readTables(path string, tables *tableFile) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return badInput("read tables: %w", err)
	}
	var file tableFile
	if err := json.Unmarshal(data, &file); err != nil {
		return badInput("%s: %w", path, err)
	}
	tables.Pools = append(tables.Pools, file.Pools...)
	tables.Routes = append(tables.Routes, file.Routes...)
	for i, raw := range file.Rows {
		if err := tables.addRow(raw); err != nil {
			return badInput("%s: row %d: %w", path, i, err)
		}
	}
	return nil
}

// addRow decodes a route or a pool and adds it to its table.
func (t *tableFile) addRow(raw json.RawMessage) error {
	var file rowFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return err
	}
	switch {
	case file.Pool != nil:
		var row operatorapi.PoolRow
		if err := json.Unmarshal(raw, &row); err != nil {
			return err
		}
		t.Pools = append(t.Pools, row)
	case file.Route != nil:
		var row operatorapi.RouteRow
		if err := json.Unmarshal(raw, &row); err != nil {
			return err
		}
		t.Routes = append(t.Routes, row)
	default:
		return errors.New("contains neither a route nor a pool")
	}
	return nil
}

// checkTables validates the rows as edits of empty tables, one after the other.
func checkTables(file tableFile) []operatorapi.Problem {
	var problems []operatorapi.Problem
	tables := table.New()
	apply := func(name string, change table.Change) {
		e := table.Edit{
			ID:     "check",
			Change: change,
		}
		for _, p := range tables.Check(e) {
			problems = append(problems, operatorapi.Problem{
				Field:   name + " " + p.Field,
				Message: p.Message,
			})
		}
		if tables.RevisionOf(e) != 0 {
			problems = append(problems, operatorapi.Problem{
				Field:   name,
				Message: "is defined more than once",
			})
		}
		tables = tables.WithChange(change, tables.Revision()+1)
	}
	for _, row := range file.Pools {
		apply(fmt.Sprintf("pool %s", row.Name), table.SetPool{
			Pool: operatorhttp.PoolFromSpec(row.Name, &row.Pool),
		})
	}
	for _, row := range file.Routes {
		apply(fmt.Sprintf("route %s", row.Name), table.SetRoute{
			Route: operatorhttp.RouteFromSpec(row.Name, &row.Route),
		})
	}
	return problems
}
