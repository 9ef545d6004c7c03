package quarantine

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestScripts runs the scripts of testdata/scripts on one registry. Times are milliseconds. "end" is the end of an
// upstream; each line of its input lists the keys of an attempt, of which later ones have a higher rank, and when it began
// if not at the time of the command. Each attempt is of another request unless the command has an "id". "success" and
// "admit" take the keys of a request. "held" shows the holds after decisionDelay, "note" notes a success of a key
// before any end, "decision" shows for how
// long a request should wait until it is decided whether it is held.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{}
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
		})
	})
}

// script is the state of a script.
type script struct {
	registry *Registry
	// noTurn keeps this daemon from sending trial requests.
	noTurn bool
	// attempts counts the attempts at upstreams that ended.
	attempts int
	// observed is what another daemon must be told.
	observed []Observation
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	if s.registry == nil || d.Cmd == "new" {
		s.reset(t, d)
	}
	switch d.Cmd {
	case "new":
		return ""
	case "advance":
		time.Sleep(milliseconds(t, d, "ms"))
		return ""
	case "end":
		return s.told(s.registry.Ended(s.end(t, d)))
	case "peer_end":
		return fmt.Sprintf("new: %t\n", s.registry.Merge(s.end(t, d)))
	case "held":
		time.Sleep(decisionDelay)
		return s.heldKeys()
	case "note":
		s.registry.NoteSuccess(request("", argument(d, "keys")).Keys[0])
		return ""
	case "success":
		return s.told(s.registry.Succeeded(request("", argument(d, "keys"))))
	case "admit":
		return s.admit(d, s.registry.Admit)
	case "send":
		return s.admit(d, s.registry.BeginAttempt)
	case "decision":
		return fmt.Sprintf("in %v\n", s.registry.DecisionIn(request("", argument(d, "keys"))))
	case "blocked":
		return fmt.Sprintf("%t\n", s.registry.Blocked(request("", argument(d, "keys"))))
	case "join":
		return s.join()
	}
	require.Fail(t, "unknown command", d.Cmd)
	return ""
}

func (s *script) reset(t *testing.T, d *datadriven.TestData) {
	cfg := Config{
		MayTry: func(uint64, int) bool { return !s.noTurn },
	}
	s.noTurn = d.HasArg("no_turn")
	if d.HasArg("max_ends") {
		d.ScanArgs(t, "max_ends", &cfg.MaxEnds)
	}
	if d.HasArg("max_holds") {
		d.ScanArgs(t, "max_holds", &cfg.MaxHolds)
	}
	s.registry = New(cfg)
}

// end returns the end that a command describes. Each attempt began "began" before it.
func (s *script) end(t *testing.T, d *datadriven.TestData) End {
	e := End{
		Incarnation: argument(d, "upstream"),
		At:          time.Now(),
	}
	for line := range strings.Lines(d.Input) {
		keys, own, ok := strings.Cut(strings.TrimSpace(line), " began=")
		ran := milliseconds(t, d, "began")
		if ok {
			ms, err := strconv.Atoi(own)
			require.NoError(t, err)
			ran = time.Duration(ms) * time.Millisecond
		}
		s.attempts++
		id := fmt.Sprint("r", s.attempts)
		if d.HasArg("id") {
			id = argument(d, "id")
		}
		e.Attempts = append(e.Attempts, AttemptsOf(request(id, keys), e.At.Add(-ran))...)
	}
	return e
}

func (s *script) told(list []Observation) string {
	s.observed = append(s.observed, list...)
	return fmt.Sprintf("told: %d\n", len(list))
}

func (s *script) heldKeys() string {
	var names []string
	for _, h := range s.registry.Holds() {
		names = append(names, fmt.Sprintf("%s (ends %d, failures %d, for %v)", keyName(h.Key), h.Ends, h.Failures, time.Until(h.Until)))
	}
	slices.Sort(names)
	return "held: " + strings.Join(names, ", ") + "\n"
}

func (s *script) admit(d *datadriven.TestData, ask func(Request) error) string {
	err := ask(request(argument(d, "id"), argument(d, "keys")))
	if err == nil {
		return "admitted\n"
	}
	var held *HeldError
	if !errors.As(err, &held) {
		return err.Error()
	}
	return fmt.Sprintf("refused for %s, retry after %v\n", keyName(held.Key), held.RetryAfter)
}

// join tells a new registry what this one knows, and goes on with that one.
func (s *script) join() string {
	told := s.registry.Observations()
	s.registry = New(s.registry.cfg)
	for _, o := range told {
		s.registry.Merge(o)
	}
	return s.heldKeys()
}

// request returns a request with keys that are named by letters, a capital one for its content. Each one has a higher
// rank than the one before.
func request(id, names string) Request {
	req := Request{
		ID: id,
	}
	for i, name := range strings.Split(names, ",") {
		k := Key{
			Hash: uint64(name[0]),
			Rank: i,
		}
		if strings.ToUpper(name) == name {
			k.Rank = contentRank
		}
		req.Keys = append(req.Keys, k)
	}
	return req
}

func keyName(key uint64) string { return string(rune(key)) }

func argument(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name {
			return strings.Join(a.Vals, ",")
		}
	}
	return ""
}

func milliseconds(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	ms := 0
	if d.HasArg(name) {
		d.ScanArgs(t, name, &ms)
	}
	return time.Duration(ms) * time.Millisecond
}
