package e2e

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/wire/standinapi"
)

// quietPeriod is how long the ledgers must be unchanged before they are read.
const quietPeriod = 300 * time.Millisecond

// check compares the results that callers received with the ledgers. It is called at
// the end of a test, when no request runs any more.
func (c *cluster) check(t *testing.T) {
	t.Helper()
	entries := c.stableEntries(t)
	results := c.history.all()
	t.Log(countsText(results, entries))
	findings := findViolations(results, entries)
	if len(findings) == 0 {
		return
	}
	require.Fail(t, "guarantees are violated", "%s\ntrace:\n%s", strings.Join(findings, "\n"), trace(results, entries))
}

// countsText returns how many results of each outcome and how many executions were
// checked.
func countsText(results []callResult, entries []standinapi.Entry) string {
	counts := make(map[string]int)
	for _, r := range results {
		counts[r.outcome]++
	}
	return fmt.Sprintf("results %v, executions %d", counts, len(entries))
}

// stableEntries returns the entries of all ledgers once their number stays the same for
// quietPeriod.
func (c *cluster) stableEntries(t *testing.T) []standinapi.Entry {
	t.Helper()
	last := -1
	for range 100 {
		var entries []standinapi.Entry
		for _, s := range c.allUpstreams() {
			entries = append(entries, s.ledger(t)...)
		}
		if len(entries) == last {
			return entries
		}
		last = len(entries)
		time.Sleep(quietPeriod)
	}
	require.FailNow(t, "the ledgers of the upstreams keep growing")
	return nil
}

// findViolations returns a line for each violated guarantee.
func findViolations(results []callResult, entries []standinapi.Entry) []string {
	var findings []string
	commits := make(map[string][]standinapi.Entry)
	for _, e := range entries {
		if e.Stage == commitStage {
			commits[e.Input] = append(commits[e.Input], e)
		}
	}
	for input, runs := range commits {
		if len(runs) > 1 {
			findings = append(findings, fmt.Sprintf("executed more than once: %s ran %d times", input, len(runs)))
		}
	}
	for _, r := range results {
		switch r.outcome {
		case answered:
			findings = append(findings, checkAnswered(r, commits[r.commitInput()])...)
		case failed:
			findings = append(findings, checkFailed(r, commits[r.commitInput()])...)
		case notRun:
			findings = append(findings, checkNotRun(r, results, entries, commits[r.commitInput()])...)
		}
	}
	return append(findings, checkInputs(results, entries)...)
}

// commitInput returns the input of the non-idempotent stage, or "" if the route has none.
func (req call) commitInput() string {
	if req.route != dispatchRoute {
		return ""
	}
	return oracle.Route(routes[dispatchRoute][:1], req.input)
}

func checkAnswered(r callResult, commits []standinapi.Entry) []string {
	if want := oracle.Route(routes[r.route], r.input); r.output != want {
		return []string{fmt.Sprintf("wrong output, want %q: %s", want, r)}
	}
	if r.route == dispatchRoute && (len(commits) != 1 || !commits[0].Completed) {
		return []string{fmt.Sprintf("answered, but ran %d times: %s", len(commits), r)}
	}
	return nil
}

// checkFailed checks that a request reported as failed did not run its non-idempotent
// stage.
func checkFailed(r callResult, commits []standinapi.Entry) []string {
	var findings []string
	for _, e := range commits {
		if e.RequestID == r.requestID {
			findings = append(findings, fmt.Sprintf("failed, but %s ran at %s: %s", e.AttemptID, formatMs(e.TimeMs), r))
		}
	}
	return findings
}

// checkNotRun compares a "not run" outcome with all executions. No stage may have run
// for this request. The non-idempotent stage may have run for the same input later only
// if the caller sent the request again, and earlier only for a concurrent call: of two
// concurrent calls with one key, each outcome covers only its own call.
func checkNotRun(r callResult, results []callResult, entries, commits []standinapi.Entry) []string {
	var findings []string
	for _, e := range entries {
		if e.RequestID == r.requestID {
			findings = append(findings, fmt.Sprintf("not_run, but %s ran at %s: %s", e.AttemptID, formatMs(e.TimeMs), r))
		}
	}
	if r.code == "key_body_mismatch" {
		return findings
	}
	retried := slices.ContainsFunc(results, func(other callResult) bool {
		return other.key == r.key && other.input == r.input && other.sent.After(r.received)
	})
	for _, e := range commits {
		if overlaps(r, results, e.RequestID) {
			continue
		}
		if e.TimeMs <= r.received.UnixMilli() {
			findings = append(findings, fmt.Sprintf("not_run, but the input had run at %s: %s", formatMs(e.TimeMs), r))
		} else if !retried {
			findings = append(findings, fmt.Sprintf("not_run, but the input ran later at %s: %s", formatMs(e.TimeMs), r))
		}
	}
	return findings
}

// overlaps reports whether the request with the id is a call with the same key that was
// in flight at the same time as r.
func overlaps(r callResult, results []callResult, requestID string) bool {
	return slices.ContainsFunc(results, func(other callResult) bool {
		return other.requestID == requestID && other.key == r.key && other.key != "" &&
			other.sent.Before(r.received) && other.received.After(r.sent)
	})
}

// checkInputs checks that no stage got the input of another request.
func checkInputs(results []callResult, entries []standinapi.Entry) []string {
	calls := make(map[string]call)
	for _, r := range results {
		if r.requestID != "" && r.outcome == answered {
			calls[r.requestID] = r.call
		}
	}
	var findings []string
	for _, e := range entries {
		req, ok := calls[e.RequestID]
		if !ok || slices.Contains(stageInputs(req), e.Input) {
			continue
		}
		findings = append(findings, fmt.Sprintf("input of another request: %s at %s got %q", e.AttemptID, e.Stage, e.Input))
	}
	return findings
}

func stageInputs(req call) []string {
	var inputs []string
	for i := range routes[req.route] {
		inputs = append(inputs, oracle.Route(routes[req.route][:i], req.input))
	}
	return inputs
}

// trace lists the results of callers and the executions of the non-idempotent stage.
func trace(results []callResult, entries []standinapi.Entry) string {
	var b strings.Builder
	for _, r := range results {
		fmt.Fprintln(&b, r)
	}
	for _, e := range entries {
		if e.Stage == commitStage {
			fmt.Fprintf(&b, "%s ran %s completed %t input %q\n", formatMs(e.TimeMs), e.AttemptID, e.Completed, e.Input)
		}
	}
	return b.String()
}

func formatMs(ms int64) string {
	return time.UnixMilli(ms).Format("05.000")
}
