package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/stagework"
)

// jobStages keeps the last job that was submitted.
type jobStages struct {
	scriptedStages
	job stagework.Job
}

func (s *jobStages) Submit(ctx context.Context, j stagework.Job) (SubmittedJob, error) {
	s.job = j
	return s.scriptedStages.Submit(ctx, j)
}

// TestJobNamesWorkspace guards against stage work that is charged to no workspace.
func TestJobNamesWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stages := &jobStages{}
		f := New(Config{
			Client:    &scriptedCaller{},
			Stages:    stages,
			Upstreams: threeUpstreams(0),
			Table: tableOf(t, map[string]string{
				"kind":      "idempotent",
				"timeout":   "1s",
				"objective": "500ms",
				"attempts":  "1",
			}),
			RetryRatio: 0.2,
			RetryBurst: 10,
		})
		f.Serve(t.Context(), Request{
			ID:          "r1",
			Method:      http.MethodPost,
			Path:        "/a/b",
			Host:        "h",
			APIKey:      "k1",
			Received:    time.Now(),
			PieceCounts: []int{2},
		}, &recordedResponse{})
		require.Equal(t, "ws", stages.job.Workspace)
	})
}
