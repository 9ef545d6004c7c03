package stagework

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sequoiafork/internal/fairshare"
	"sequoiafork/internal/routing"
)

func jobOver(over bool) *job {
	return &job{
		Job: Job{
			Priority: 1,
			share: jobShare{
				standing: fairshare.Standing{
					Over: over,
				},
			},
		},
	}
}

// TestShareOrder guards against a share that counts more than whether a job can be in time, or than its priority, and
// less than its soft deadline.
func TestShareOrder(t *testing.T) {
	now := time.Now()
	within, over := jobOver(false), jobOver(true)
	within.lateAfter, over.lateAfter = now.Add(time.Second), now.Add(time.Second)
	within.SoftDeadline, over.SoftDeadline = now.Add(2*time.Second), now.Add(time.Second)
	require.Negative(t, compareJobs(within, over, now))
	over.Priority = 0
	require.Positive(t, compareJobs(within, over, now), "a more urgent job over the share goes first")
	over.Priority = 1
	within.missesSoftDeadline = true
	require.Positive(t, compareJobs(within, over, now), "a job that can be in time goes first")
}

// overloaded returns a scheduler whose upstream has more work than it can do, most of it of the workspace "large".
func overloaded(t *testing.T, logger *zap.Logger) *Scheduler {
	run := newScriptRun(t)
	s := New(Config{
		Invoker:    run.fakes,
		FairShares: true,
		Logger:     logger,
	})
	run.scheduler = s
	run.command(strings.Fields("service render batch=8 call=200ms item=21ms memory=18000000 lifetime=4s"))
	run.command(strings.Fields("upstream r00 render"))
	for i := range 200 {
		workspace := "large"
		if i%10 == 0 {
			workspace = "small"
		}
		_ = submitRender(t, s, workspace, i) // A part of them is rejected.
		time.Sleep(20 * time.Millisecond)
	}
	return s
}

func submitRender(t *testing.T, s *Scheduler, workspace string, i int) error {
	t.Helper()
	now := time.Now()
	submitted, err := s.Submit(Job{
		RequestID:    fmt.Sprintf("%s-%d", workspace, i),
		Workspace:    workspace,
		SoftDeadline: now.Add(time.Second),
		Deadline:     now.Add(4 * time.Second),
		Stages: []Stage{
			{
				Service: "render",
				Pieces:  2,
			},
		},
	})
	if err == nil {
		t.Cleanup(submitted.Release)
	}
	return err
}

// TestNewOwnerBeginsWithoutHistory guards against a new owner of the stage work that judges workspaces by what the
// previous one accepted or rejected.
func TestNewOwnerBeginsWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := overloaded(t, nil)
		largest := old.LargestWorkspaces()
		require.Len(t, largest, 2)
		require.Equal(t, "large", largest[0].Workspace)
		require.Positive(t, largest[0].ShareMs)
		next := New(Config{
			FairShares: true,
		})
		require.Empty(t, next.LargestWorkspaces())
		time.Sleep(10 * time.Second)
	})
}

// TestRejectionNamesShare guards against a rejection that can't be explained from its log line.
func TestRejectionNamesShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		overloaded(t, zap.New(core))
		lines := logs.FilterMessage("job rejected").FilterField(zap.Bool("over_share", true)).All()
		require.NotEmpty(t, lines)
		for _, line := range lines {
			fields := line.ContextMap()
			require.Equal(t, "large", fields["workspace"])
			require.Contains(t, fields["request_id"], "large-")
			require.Greater(t, fields["workspace_offered_ms"], fields["workspace_accepted_ms"])
			require.Greater(t, fields["workspace_accepted_ms"], fields["share_ms"])
		}
		time.Sleep(10 * time.Second)
	})
}

// TestAdmissionOverShare guards against jobs over the share that are accepted although jobs which are submitted later
// make them late, and against rejections that invite to come back at once.
func TestAdmissionOverShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := newScriptRun(t)
		s := run.scheduler
		s.shares = newWorkspaceShares(true)
		run.command(strings.Fields("service render batch=8 call=200ms item=20ms memory=18000000 lifetime=4s"))
		run.command(strings.Fields("upstream r00 render"))
		now := time.Now()
		j := Job{
			SoftDeadline: now.Add(time.Second),
			Deadline:     now.Add(4 * time.Second),
			Stages: []Stage{
				{
					Service: "render",
					Pieces:  1,
				},
			},
			share: jobOver(true).share,
		}
		f, err := s.admitByShare(j, now)
		require.NoError(t, err)
		require.False(t, f.missesSoftDeadline)

		s.shares.overrun[0] = 900 * time.Millisecond
		f, err = s.admitByShare(j, now)
		require.NoError(t, err)
		require.True(t, f.missesSoftDeadline, "it runs after the jobs that can be in time")

		j.Patience = now.Add(time.Second)
		_, err = s.admitByShare(j, now)
		var rejected *RejectedError
		require.ErrorAs(t, err, &rejected)
		require.Contains(t, rejected.Message, "the workspace is over its share")
		require.GreaterOrEqual(t, rejected.RetryAfter, minShareRetryAfter)

		within := j
		within.share = jobShare{}
		f, err = s.admitByShare(within, now)
		require.NoError(t, err)
		require.False(t, f.missesSoftDeadline, "jobs within the share are admitted as without shares")

		j.Results = make([]PieceResult, 1)
		_, err = s.admitByShare(j, now)
		require.NoError(t, err, "a job that has results is accepted")

		s.shares.offer(j, s.services, now)
		require.Empty(t, s.shares.overrun, "the overload is over")
	})
}

// TestAcceptedWork guards against workspaces that count as limited because their jobs have no objective, and against
// an overload that goes unnoticed because all jobs are accepted, many of them only to run late.
func TestAcceptedWork(t *testing.T) {
	for _, c := range []struct {
		name     string
		late     bool
		err      error
		timeLeft time.Duration
		accepted bool
	}{
		{
			name:     "in time",
			timeLeft: time.Second,
			accepted: true,
		},
		{
			name:     "late because of other work",
			late:     true,
			timeLeft: time.Second,
		},
		{
			name:     "late in any case",
			late:     true,
			accepted: true,
		},
		{
			name:     "rejected",
			err:      &RejectedError{},
			timeLeft: time.Second,
		},
	} {
		w := newWorkspaceShares(true)
		now := time.Now()
		j := Job{
			Workspace:    "a",
			SoftDeadline: now.Add(c.timeLeft),
			share: jobShare{
				work: time.Second,
			},
		}
		w.shares.Offer(j.Workspace, j.share.work, now)
		w.recordAdmission(j, forecast{
			missesSoftDeadline: c.late,
		}, c.err, now)
		require.Equal(t, c.accepted, w.shares.Standing("a", now).Accepted > 0, c.name)
	}
}

// TestNoSharesCostNothing guards against memory or log fields for shares that are not asked for.
func TestNoSharesCostNothing(t *testing.T) {
	w := newWorkspaceShares(false)
	j := Job{
		Workspace: "a",
	}
	now := time.Now()
	require.Zero(t, testing.AllocsPerRun(100, func() {
		j = w.offer(j, nil, now)
		w.recordAdmission(j, forecast{}, nil, now)
	}))
	require.Empty(t, j.shareFields())
	require.False(t, j.share.standing.Over)
}

// TestMetricsOfSharesAreBounded guards against a series for every workspace.
func TestMetricsOfSharesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkspaceShares(true)
		services := map[string]*service{
			"render": newService(routing.Service{
				Name: "render",
				Batch: &routing.BatchSpec{
					MaxSize:  8,
					ItemTime: 20 * time.Millisecond,
				},
			}),
		}
		for i := range 40_000 {
			j := Job{
				Workspace: fmt.Sprintf("bounded-%d", i%4000),
				Stages: []Stage{
					{
						Service: "render",
						Pieces:  1 + i%4000/10,
					},
				},
			}
			j = w.offer(j, services, time.Now())
			w.recordAdmission(j, forecast{}, nil, time.Now())
			time.Sleep(time.Millisecond)
		}
		named := 0
		for _, name := range metrics.ListMetricNames() {
			if strings.HasPrefix(name, "sequoiafork_stage_jobs_total{workspace=\"bounded-") {
				named++
			}
		}
		require.Positive(t, named)
		require.LessOrEqual(t, named, 2*namedWorkspaces)
	})
}
