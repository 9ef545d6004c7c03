package table_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/table"
)

// TestEdits checks the edits of a data file one after the other. It prints the problems
// that Check finds, or else the description, and applies the edit.
func TestEdits(t *testing.T) {
	tables := table.New()
	revision := uint64(0)
	datadriven.RunTest(t, "testdata/edits", func(t *testing.T, d *datadriven.TestData) string {
		edit := table.Edit{
			ID:     "e",
			Change: parseChange(t, d),
		}
		if problems := tables.Check(edit); len(problems) > 0 {
			return fmt.Sprintln(problems)
		}
		out := tables.Describe(edit) + "\n"
		for _, line := range strings.Split(out, "\n") {
			require.LessOrEqual(t, len(line), 40, "Describe(%v) line %q", edit, line)
		}
		revision++
		tables = tables.WithChange(edit.Change, revision)
		return out
	})
}

// parseChange returns the change that a command and its arguments describe.
func parseChange(t *testing.T, d *datadriven.TestData) table.Change {
	var name, kind, service, on, model string
	var concurrency, deadline int
	var models []string
	d.MaybeScanArgs(t, "name", &name)
	d.MaybeScanArgs(t, "kind", &kind)
	d.MaybeScanArgs(t, "service", &service)
	d.MaybeScanArgs(t, "concurrency", &concurrency)
	d.MaybeScanArgs(t, "models", &models)
	d.MaybeScanArgs(t, "on", &on)
	d.MaybeScanArgs(t, "model", &model)
	d.MaybeScanArgs(t, "deadline", &deadline)
	switch d.Cmd {
	case "set_pool":
		k, _ := table.ParsePoolKind(kind)
		return table.SetPool{
			Pool: table.Pool{
				Name:        name,
				Kind:        k,
				Service:     service,
				Concurrency: concurrency,
				Models:      models,
			},
		}
	case "set_route":
		return table.SetRoute{
			Route: table.Route{
				Name:     name,
				Deadline: time.Duration(deadline) * time.Millisecond,
				Stages: []table.Stage{{
					Name:          "one",
					Pool:          on,
					Model:         model,
					NonIdempotent: d.HasArg("not_repeatable"),
					Cacheable:     d.HasArg("reusable"),
				}},
			},
		}
	case "delete_pool":
		return table.DeletePool{
			Name: name,
		}
	}
	return table.DeleteRoute{
		Name: name,
	}
}
