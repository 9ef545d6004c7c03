package stagework

import (
	"cmp"
	"errors"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/fairshare"
	"sequoiafork/internal/routing"
)

// workspaceShares marks the jobs of workspaces that are over their share of the stage work. A job keeps its mark, so
// that the jobs which a workspace submitted within its share stay where they are in the queues when it goes over it.
// Nil marks no job. The scheduler's lock guards it.
type workspaceShares struct {
	shares  *fairshare.Shares
	metrics shareMetrics
	// overrun is, by priority, how much later than estimated most jobs over the share finish, since jobs that are
	// submitted later go before them.
	overrun map[int]time.Duration
}

// jobShare is what the share of a workspace means for one of its jobs.
type jobShare struct {
	// work is the time that upstreams need for the job.
	work time.Duration
	// submittedAt is when the job was submitted.
	submittedAt time.Time
	// standing is that of the workspace before the job.
	standing fairshare.Standing
}

func newWorkspaceShares(fair bool) *workspaceShares {
	if !fair {
		return nil
	}
	return &workspaceShares{
		shares:  fairshare.New(fairshare.Config{}),
		overrun: make(map[int]time.Duration),
	}
}

// offer records a submitted job as work that its workspace offers, and returns the job with its mark.
func (w *workspaceShares) offer(j Job, services map[string]*service, now time.Time) Job {
	if w == nil {
		return j
	}
	standing := w.shares.Standing(j.Workspace, now)
	if !standing.Limited {
		clear(w.overrun) // It is that of an overload which is over.
	}
	j.share = jobShare{
		work:        j.upstreamTime(services),
		submittedAt: now,
		standing:    standing,
	}
	w.shares.Offer(j.Workspace, j.share.work, now)
	return j
}

// recordAdmission records whether a job was accepted. Work that was accepted only to run after all that can be in time
// does not count as accepted, since all work is accepted when there is little more than the upstreams can do. Jobs
// that could not be in time on idle upstreams either, such as those without an objective, say nothing about that and
// count.
func (w *workspaceShares) recordAdmission(j Job, f forecast, err error, now time.Time) {
	if w == nil {
		return
	}
	if err == nil && (!f.missesSoftDeadline || !j.softStageDeadline().After(now)) {
		w.shares.Accept(j.Workspace, j.share.work, now)
	}
	w.metrics.count(j.Workspace, err == nil, w.shares, now)
}

// recordEnd records that a job has ended, and logs why if it was accepted and rejected later. Its work
// remains accepted of its workspace.
func (s *Scheduler) recordEnd(j *job, err error) {
	var rejected *RejectedError
	if s.shares != nil && errors.As(err, &rejected) {
		fields := []zap.Field{zap.String("request_id", j.RequestID), zap.Int("priority", j.Priority), zap.Error(err)}
		s.cfg.Logger.Info("accepted job rejected later", append(fields, j.shareFields()...)...)
	}
	if j.share.standing.Over {
		s.shares.updateOverrun(j, err)
		return
	}
	s.observeOverrun(j, err)
}

// shareFields returns the fields of a log line that say what the share of the workspace meant for a job.
func (j Job) shareFields() []zap.Field {
	if j.share.submittedAt.IsZero() {
		return nil
	}
	st := j.share.standing
	fields := []zap.Field{
		zap.String("workspace", j.Workspace),
		zap.Bool("over_share", st.Over),
		zap.Duration("workspace_offered_ms", st.Offered),
		zap.Duration("workspace_accepted_ms", st.Accepted),
	}
	if st.Limited {
		fields = append(fields, zap.Duration("share_ms", st.Share))
	}
	return fields
}

// upstreamTime returns the time that upstreams need for the pieces of a job in full calls.
func (j Job) upstreamTime(services map[string]*service) time.Duration {
	sum := time.Duration(0)
	for _, st := range j.Stages {
		if svc, ok := services[st.Service]; ok {
			sum += time.Duration(st.Pieces) * pieceTime(svc.spec)
		}
	}
	return sum
}

// pieceTime returns the time that a piece takes of a full call.
func pieceTime(spec routing.BatchSpec) time.Duration {
	return callTime(spec, spec.MaxSize) / time.Duration(max(spec.MaxSize, 1))
}

// compareShares orders a job of a workspace within its share before one of a workspace over it.
func compareShares(a, b *job) int { return cmp.Compare(a.shareRank(), b.shareRank()) }

// shareRank returns 0 if the workspace was within its share when the job was submitted, and 1 if not.
func (j *job) shareRank() int {
	if j.share.standing.Over {
		return 1
	}
	return 0
}
