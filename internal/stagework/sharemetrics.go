package stagework

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiafork/internal/fairshare"
)

const (
	// namedWorkspaces is the number of workspaces that have counters of their own.
	namedWorkspaces = 10
	// namesInterval is the time between two checks of which workspaces are the largest.
	namesInterval = 5 * time.Second
	// otherWorkspaces is the label of the counters of all workspaces that have none of their own.
	otherWorkspaces = "_other"
)

// shareMetrics counts the accepted and rejected jobs of the largest workspaces and of the rest. The counters of a
// workspace end when it is no longer among twice as many largest ones. Later ones begin at zero.
type shareMetrics struct {
	named     []string
	checkedAt time.Time
}

// count counts a job.
func (m *shareMetrics) count(workspace string, accepted bool, shares *fairshare.Shares, now time.Time) {
	if m.checkedAt.IsZero() || now.Sub(m.checkedAt) >= namesInterval {
		m.checkedAt = now
		m.updateNames(shares.Largest(2*namedWorkspaces, now))
	}
	if !slices.Contains(m.named, workspace) {
		workspace = otherWorkspaces
	}
	metrics.GetOrCreateCounter(jobsMetric(workspace, accepted)).Inc()
}

// updateNames gives counters to the largest workspaces in the place of those that are no longer listed.
func (m *shareMetrics) updateNames(largest []string) {
	m.named = slices.DeleteFunc(m.named, func(name string) bool {
		if slices.Contains(largest, name) {
			return false
		}
		metrics.UnregisterMetric(jobsMetric(name, true))
		metrics.UnregisterMetric(jobsMetric(name, false))
		return true
	})
	for _, name := range largest {
		if len(m.named) == namedWorkspaces {
			return
		}
		if !slices.Contains(m.named, name) {
			m.named = append(m.named, name)
		}
	}
}

func jobsMetric(workspace string, accepted bool) string {
	result := "rejected"
	if accepted {
		result = "accepted"
	}
	return fmt.Sprintf("sequoiafork_stage_jobs_total{workspace=%q,result=%q}", workspace, result)
}
