package e2e

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/operatorapi"
)

// maxApplyTime bounds the time until every reachable daemon has applied an accepted
// edit.
const maxApplyTime = 5 * time.Second

// outage is an interval in which a daemon was unreachable.
type outage struct {
	daemon   int
	from, to time.Time
}

// check verifies the guarantees of promise 7, about edits: it compares the results that
// operators received with the tables that they read.
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
		if e.message == "resolved later" {
			resolved++
		}
	}
	reads := 0
	for _, s := range o.observations {
		reads += len(s)
	}
	t.Logf("%d edits %v, %d of them resolved later; %d reads; slowest application by daemon %v", len(o.edits), counts, resolved, reads, slowest)
	require.Empty(t, findings)
	require.Greater(t, counts[operatorapi.EditResultStateAccepted], 50)
	require.Greater(t, counts[operatorapi.EditResultStateConflict], 5)
}

// checkReads checks that a daemon never shows an older revision than it showed before,
// and that a revision of a row has one value everywhere.
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

// checkRevisionChains checks that each accepted edit of a row is based on the one
// accepted before it, so that only one edit per base revision was accepted, and that
// every conflict was caused by an accepted edit with the same base.
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

// checkShownEdits checks that only accepted edits were applied, and that each edit is
// shown with the revision that its operator received.
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

// checkApplyTimes checks that each daemon shows an accepted edit within maxApplyTime.
// The time is measured from the end of an outage if the daemon had one.
func (o *operators) checkApplyTimes(outages []outage) ([]string, []time.Duration) {
	var findings []string
	slowest := make([]time.Duration, len(o.observations))
	for _, e := range o.edits {
		if e.state != operatorapi.EditResultStateAccepted || e.message == "resolved later" {
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
				findings = append(findings, fmt.Sprintf("daemon %d took %s to apply: %s", i, took, e))
			}
		}
	}
	return findings, slowest
}

// reachableSince returns the later of the time at which an edit was accepted and the
// time since which the daemon has been reachable.
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
