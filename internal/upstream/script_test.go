package upstream

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/table"
)

var outcomes = map[string]Outcome{
	"ok":         OK,
	"refused":    ConnectFailed,
	"failed":     Failed,
	"timed_out":  TimedOut,
	"left_pool":  RefusedLeaving,
	"cancelled":  Cancelled,
	"overloaded": Overloaded,
}

var states = map[string]State{
	"live":    Live,
	"leaving": Leaving,
	"dead":    Dead,
	"suspect": Suspect,
}

// script runs the commands of one testdata file against a set. changes are the calls
// of OnStateChange since the last output.
type script struct {
	t       *testing.T
	set     *Set
	mu      sync.Mutex
	changes []string
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{
				t: t,
			}
			datadriven.RunTest(t, path, s.run)
		})
	})
}

func (s *script) run(_ *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "new":
		cfg := Config{
			DataCentre: "a",
			Seed:       1,
			OnStateChange: func(addr string, st State) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.changes = append(s.changes, fmt.Sprintf("marked %s %s", addr, st))
			},
		}
		d.MaybeScanArgs(s.t, "subset", &cfg.SubsetSize)
		s.set = New(cfg)
	case "daemons":
		n := 0
		d.ScanArgs(s.t, "n", &n)
		s.set.SetDaemons(n)
	case "hosts":
		s.set.Replace(parseHosts(d.Input))
	case "mark":
		s.set.OverrideState(d.CmdArgs[0].Key, states[d.CmdArgs[1].Key], "told")
	case "advance":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		require.NoError(s.t, err)
		time.Sleep(wait)
	case "attempts":
		return s.attempts(d)
	case "capacity":
		return fmt.Sprintln(s.set.Capacity(pool()))
	case "load":
		age := 0
		d.MaybeScanArgs(s.t, "age_ms", &age)
		cleared := s.set.ObserveLoad(d.CmdArgs[0].Key, Load{
			Age:     time.Duration(age) * time.Millisecond,
			Leaving: d.HasArg("leaving"),
		})
		return fmt.Sprintln("cleared:", cleared)
	case "leaving":
		var b strings.Builder
		for _, u := range s.set.Leaving() {
			fmt.Fprintf(&b, "%s marked %s ago\n", u.Addr, time.Since(u.MarkedAt))
		}
		return b.String()
	case "status":
		return s.status()
	}
	return ""
}

// attempts runs attempts, at a fixed interval or sequentially, and counts them by
// upstream. The input gives the results of the attempts at some upstreams; all others
// succeed.
func (s *script) attempts(d *datadriven.TestData) string {
	n, everyMs := 0, 0
	exclude := ""
	r := Request{
		Pool: pool(),
	}
	d.ScanArgs(s.t, "n", &n)
	d.MaybeScanArgs(s.t, "every_ms", &everyMs)
	d.MaybeScanArgs(s.t, "affinity", &r.Affinity)
	d.MaybeScanArgs(s.t, "exclude", &exclude)
	d.MaybeScanArgs(s.t, "version", &r.Version)
	r.PinVersion = d.HasArg("version")
	r.Exclude = []string{exclude}
	results := parseResults(s.t, d.Input)
	counts := map[string]int{}
	for i := range n {
		c, err := s.set.Pick(r)
		if err != nil {
			counts[err.Error()]++
			continue
		}
		counts[c.Addr]++
		res, ok := results[c.Addr]
		if !ok {
			res.Latency = 10 * time.Millisecond
		}
		if everyMs == 0 {
			time.Sleep(res.Latency)
			c.Done(res)
			continue
		}
		// Distinct times for all events, because the scheduler would determine the
		// order of simultaneous ones.
		offset := time.Duration(i+1) * time.Microsecond
		time.AfterFunc(res.Latency+offset, func() { c.Done(res) })
		time.Sleep(time.Duration(everyMs) * time.Millisecond)
	}
	return s.describe(counts)
}

// describe lists the counts and the state changes that the set reported.
func (s *script) describe(counts map[string]int) string {
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []string
	for what, count := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", what, count))
	}
	slices.Sort(lines)
	lines = append(lines, s.changes...)
	s.changes = nil
	return strings.Join(lines, "\n") + "\n"
}

func (s *script) status() string {
	var b strings.Builder
	for _, u := range s.set.Upstreams() {
		require.Zero(s.t, u.InFlight)
		fmt.Fprintf(&b, "%s %s %s\n", u.Addr, u.State, u.Reason)
	}
	return b.String()
}

func pool() *table.Pool {
	return &table.Pool{
		Name:        "p",
		Service:     "s",
		Concurrency: 4,
	}
}

func parseHosts(input string) []Host {
	var list []Host
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		h := Host{
			Addr:       f[0],
			DataCentre: f[1],
			Service:    "s",
		}
		for _, word := range f[2:] {
			if version, ok := strings.CutPrefix(word, "version="); ok {
				h.Version = version
				continue
			}
			h.State = states[word]
		}
		list = append(list, h)
	}
	return list
}

func parseResults(t *testing.T, input string) map[string]Result {
	results := map[string]Result{}
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		latency, err := time.ParseDuration(f[2])
		require.NoError(t, err)
		results[f[0]] = Result{
			Outcome: outcomes[f[1]],
			Latency: latency,
		}
	}
	return results
}
