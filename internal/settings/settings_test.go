package settings_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/settings"
)

const exampleFile = "../../docs/sequoiaforkd.ini"

// TestLoad runs the scripts of testdata. "load" loads an INI text with the flags and the
// environment given as arguments and prints the problems or some of the settings;
// "example_with" puts the example file before the text.
func TestLoad(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runLoad(t, d)
		})
	})
}

func runLoad(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var args []string
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "flag":
			args = append(args, "-"+arg.Vals[0], arg.Vals[1])
		case "env":
			require.NoError(t, os.Setenv(arg.Vals[0], arg.Vals[1]))
			defer func() { require.NoError(t, os.Unsetenv(arg.Vals[0])) }()
		}
	}
	text := d.Input
	if d.Cmd == "example_with" {
		text = settings.Example() + "\n" + d.Input
	}
	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.Load(path, args, settings.EnvPrefix)
	var problems *settings.ProblemsError
	switch {
	case errors.As(err, &problems):
		return problems.Error() + "\n"
	case err != nil:
		return "error: " + err.Error() + "\n"
	default:
		return fmt.Sprintf("ok: max_in_flight %d, seeds %q\n", s.Limits.MaxInFlight, s.Peers.Seeds)
	}
}

func TestExampleFileIsCurrent(t *testing.T) {
	data, err := os.ReadFile(exampleFile)
	require.NoError(t, err)
	require.Equal(t, settings.Example(), string(data), "run sequoiaforkd -example and save its output")
}

func TestExampleFileHasDefaults(t *testing.T) {
	got, err := settings.Load(exampleFile, nil, "")
	require.NoError(t, err)
	want := settings.Default()
	want.Daemon = got.Daemon
	want.Platform.LogAddr = got.Platform.LogAddr
	want.Platform.HostListAddr = got.Platform.HostListAddr
	want.Platform.StoreAddr = got.Platform.StoreAddr
	want.Platform.ReadyAddr = got.Platform.ReadyAddr
	want.Platform.DirectoryAddr = got.Platform.DirectoryAddr
	require.Equal(t, want, got)
}

func TestParseCommandLine(t *testing.T) {
	c, err := settings.ParseCommandLine([]string{
		"-config", exampleFile, "-check", "-retry.burst", "3",
	}, "", &strings.Builder{})
	require.NoError(t, err)
	require.True(t, c.Check)
	require.Equal(t, int64(3), c.Settings.Retry.Burst)

	var usage strings.Builder
	_, err = settings.ParseCommandLine([]string{
		"-h",
	}, "", &usage)
	require.ErrorIs(t, err, flag.ErrHelp)
	require.Contains(t, usage.String(), "limits.max_in_flight")
}
