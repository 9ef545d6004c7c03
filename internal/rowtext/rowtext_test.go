package rowtext_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sequoiafork/internal/rowtext"
	"sequoiafork/internal/wire/operatorapi"
)

// TestScripts applies each line of fields to an empty row and prints the row.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/rows", func(_ *testing.T, d *datadriven.TestData) string {
		var output strings.Builder
		for line := range strings.Lines(d.Input) {
			output.WriteString(applyAndFormat(d.Cmd, strings.Fields(line)) + "\n")
		}
		return output.String()
	})
}

func applyAndFormat(rowType string, fields []string) string {
	var formatted []string
	var err error
	if rowType == "route" {
		var route operatorapi.RouteSpec
		route, err = rowtext.ApplyRoute(route, fields)
		formatted = rowtext.FormatRoute(route)
	} else {
		var pool operatorapi.PoolSpec
		pool, err = rowtext.ApplyPool(pool, fields)
		formatted = rowtext.FormatPool(pool)
	}
	var syntax *rowtext.SyntaxError
	if errors.As(err, &syntax) {
		return "error: " + syntax.Error()
	}
	return strings.Join(formatted, " ")
}

// TestRouteRoundTrip checks that parsing a formatted route returns an equal route.
func TestRouteRoundTrip(t *testing.T) {
	name := rapid.StringMatching(`[a-z][a-z0-9._-]{0,8}`)
	rapid.Check(t, func(t *rapid.T) {
		want := operatorapi.RouteSpec{
			DeadlineMs: rapid.Int64Range(1, 600_000).Draw(t, "deadline"),
			Stages:     []operatorapi.Stage{},
		}
		for range rapid.IntRange(1, 4).Draw(t, "stages") {
			stage := operatorapi.Stage{
				Name: name.Draw(t, "name"),
				Pool: name.Draw(t, "pool"),
			}
			if rapid.Bool().Draw(t, "has model") {
				stage.Model = operatorapi.NewOptString(name.Draw(t, "model"))
			}
			if rapid.Bool().Draw(t, "has tokens") {
				stage.MaxTokens = operatorapi.NewOptInt64(rapid.Int64Range(1, 9999).Draw(t, "tokens"))
			}
			if rapid.Bool().Draw(t, "has timeout") {
				stage.TimeoutMs = operatorapi.NewOptInt64(rapid.Int64Range(1, 9999).Draw(t, "timeout"))
			}
			if rapid.Bool().Draw(t, "not repeatable") {
				stage.NotRepeatable = operatorapi.NewOptBool(true)
			}
			want.Stages = append(want.Stages, stage)
		}
		fields := rowtext.FormatRoute(want)
		joined := fields[0] + " " + strings.Join(fields[1:], "")
		got, err := rowtext.ApplyRoute(operatorapi.RouteSpec{}, strings.Fields(joined))
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}
