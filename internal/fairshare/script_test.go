package fairshare_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/fairshare"
)

// TestScripts runs the scripts in testdata on a fake clock. "play" reads lines:
//
//	offer WORKSPACE WORK
//	accept WORKSPACE WORK
//	sleep TIME
//	standing WORKSPACE
//	largest N
//
// where "accept" also offers. The argument "max" is MaxWorkspaces.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			cfg := fairshare.Config{}
			d.MaybeScanArgs(t, "max", &cfg.MaxWorkspaces)
			var out strings.Builder
			synctest.Test(t, func(t *testing.T) {
				s := fairshare.New(cfg)
				for line := range strings.Lines(strings.TrimSpace(d.Input)) {
					out.WriteString(run(t, s, strings.Fields(line)))
				}
			})
			return out.String()
		})
	})
}

// run runs a command and returns what it prints.
func run(t *testing.T, s *fairshare.Shares, words []string) string {
	t.Helper()
	now := time.Now()
	switch words[0] {
	case "offer":
		s.Offer(words[1], duration(t, words[2]), now)
	case "accept":
		s.Offer(words[1], duration(t, words[2]), now)
		s.Accept(words[1], duration(t, words[2]), now)
	case "sleep":
		time.Sleep(duration(t, words[1]))
	case "standing":
		return describe(words[1], s.Standing(words[1], now))
	case "largest":
		n, err := strconv.Atoi(words[1])
		require.NoError(t, err)
		return fmt.Sprintln("largest", s.Largest(n, now))
	default:
		t.Fatalf("unknown line %q", words)
	}
	return ""
}

func describe(workspace string, st fairshare.Standing) string {
	share := "none"
	if st.Limited {
		share = st.Share.String()
	}
	return fmt.Sprintf("%s: accepted %v of %v, share %s, over %v\n", workspace, st.Accepted, st.Offered, share, st.Over)
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	require.NoError(t, err)
	return d
}
