package e2e

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/operatorapi"
)

// inForceBound is how long an accepted edit may take to every reachable daemon.
const maxApplyTime = 5 * time.Second

// outage is a time in which a daemon could not be reached.
type outage struct {
	daemon   int
	from, to time.Time
}

// judge holds what operators were told and read against promise 7.
func (o *operators) check(t *testing.T, outages ...outage) {
	t.Helper()
	findings := o.checkReads()
	findings = append(findings, o.checkRevisionChains()...)
	findings = append(findings, o.checkShownEdits()...)
	slow, slowest := o.checkApplyTimes(outages)
	findings = append(findings, slow...)
	counts := make(map[operatorapi.EditResultState]int)
	resolved := 0
	for _, e := range o.edits {
		counts[e.state]++
		if e.message == "settled later" {
			resolved++
		}
	}
	reads := 0
	for _, s := range o.observations {
		reads += len(s)
	}
	t.Logf("%d edits %v, %d of them settled later; %d reads; slowest in force by daemon %v", len(o.edits), counts, resolved, reads, slowest)
	require.Empty(t, findings)
	require.Greater(t, counts[operatorapi.EditResultStateAccepted], 50)
	require.Greater(t, counts[operatorapi.EditResultStateConflict], 5)
}

// judgeReads checks that a read never shows an older revision than one before it,
// and never one revision with two values.
func (o *operators) checkReads() []string {
	var findings []string
	values := make(map[string]int64)
	for i, observations := range o.observations {
		newest := make(map[string]int64)
		for _, s := range observations {
			if s.revision < newest[""] {
				findings = append(findings, fmt.Sprintf("daemon %d went back from %d to %d at %s", i, newest[""], s.revision, s.ended.Format("05.000")))
			}
			newest[""] = max(newest[""], s.revision)
			for name, row := range s.rows {
				if row.Revision < newest[name] {
					findings = append(findings, fmt.Sprintf("daemon %d: %s went back from %d to %d", i, name, newest[name], row.Revision))
				}
				newest[name] = max(newest[name], row.Revision)
				at := fmt.Sprintf("%s at %d", name, row.Revision)
				if value, ok := values[at]; ok && value != row.Route.DeadlineMs {
					findings = append(findings, fmt.Sprintf("%s is both %d and %d", at, value, row.Route.DeadlineMs))
				}
				values[at] = row.Route.DeadlineMs
			}
		}
	}
	return findings
}

// judgeChains checks that the accepted edits of a row stand on one another, so that
// of those with the same base one was accepted, and that a conflict had a cause.
func (o *operators) checkRevisionChains() []string {
	var findings []string
	for _, row := range o.rows {
		var accepted []edit
		for _, e := range o.edits {
			if e.row == row && e.state == operatorapi.EditResultStateAccepted {
				accepted = append(accepted, e)
			}
		}
		slices.SortFunc(accepted, func(a, b edit) int { return int(a.revision - b.revision) })
		var base int64
		bases := make(map[int64]bool)
		for _, e := range accepted {
			if e.base != base {
				findings = append(findings, fmt.Sprintf("accepted on %d, but the row was at %d: %s", e.base, base, e))
			}
			base = e.revision
			bases[e.base] = true
		}
		for _, e := range o.edits {
			if e.row == row && e.state == operatorapi.EditResultStateConflict && !bases[e.base] {
				findings = append(findings, fmt.Sprintf("conflict, but no edit with this base was accepted: %s", e))
			}
		}
	}
	return findings
}

// judgeUntold checks that no edit came in force that was not accepted, and that each
// one that is shown has the revision that its operator was told.
func (o *operators) checkShownEdits() []string {
	var findings []string
	byDeadline := make(map[int64]edit)
	for _, e := range o.edits {
		byDeadline[e.deadlineMs] = e
	}
	for i, observations := range o.observations {
		for _, s := range observations {
			for _, name := range o.rows {
				row, ok := s.rows[name]
				e := byDeadline[row.Route.DeadlineMs]
				if ok && (e.state != operatorapi.EditResultStateAccepted || e.revision != row.Revision || e.row != name) {
					findings = append(findings, fmt.Sprintf("daemon %d shows %s at %d: %s", i, name, row.Revision, e))
				}
			}
		}
	}
	return slices.Compact(findings)
}

// judgeInForce checks that each daemon shows an accepted edit in time. The time
// begins anew when a daemon can be reached again.
func (o *operators) checkApplyTimes(outages []outage) ([]string, []time.Duration) {
	var findings []string
	slowest := make([]time.Duration, len(o.observations))
	for _, e := range o.edits {
		if e.state != operatorapi.EditResultStateAccepted || e.message == "settled later" {
			continue
		}
		for i, observations := range o.observations {
			first := slices.IndexFunc(observations, func(s observation) bool { return s.rows[e.row].Revision >= e.revision })
			if first < 0 {
				findings = append(findings, fmt.Sprintf("daemon %d never showed: %s", i, e))
				continue
			}
			took := observations[first].ended.Sub(reachableSince(i, e.respondedAt, observations[0].ended, outages))
			slowest[i] = max(slowest[i], took.Round(time.Millisecond))
			if took > maxApplyTime {
				findings = append(findings, fmt.Sprintf("daemon %d took %s: %s", i, took, e))
			}
		}
	}
	return findings, slowest
}

// reachableSince returns the later of the time at which an edit was accepted and
// that from which on the daemon could be reached.
func reachableSince(daemon int, respondedAt, started time.Time, outages []outage) time.Time {
	since := respondedAt
	if started.After(since) {
		since = started
	}
	for _, out := range outages {
		if out.daemon == daemon && out.to.After(since) && out.from.Before(respondedAt.Add(maxApplyTime)) {
			since = out.to
		}
	}
	return since
}
