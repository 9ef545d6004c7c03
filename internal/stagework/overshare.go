package stagework

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// minShareRetryAfter is the shortest Retry-After delay of a job that is rejected because its workspace is over its share:
// the time in which a part of what the workspace got leaves the window.
const minShareRetryAfter = 500 * time.Millisecond

const (
	// overrunStep is by how much the overrun of jobs over the share rises when a job exceeds it. It falls by
	// overrunStep/overrunOdds when a job does not.
	overrunStep = 100 * time.Millisecond
	overrunOdds = 9
)

// admitByShare admits a job as admit does and, if its workspace is over its share, only if the job is expected to be
// done early enough although jobs that are submitted later go before it. Otherwise it runs after the jobs that can meet
// their soft deadline, or is rejected.
func (s *Scheduler) admitByShare(j Job, now time.Time) (forecast, error) {
	f, err := s.admit(j, now)
	if err != nil || !j.share.standing.Over || len(j.Results) > 0 || !s.configured() {
		return f, err
	}
	start := s.shares.responseStart(j, f)
	if !f.missesSoftDeadline {
		if !start.After(j.SoftDeadline) {
			return f, nil
		}
		f = forecast{
			end:                s.estimateLateEnd(j, now),
			missesSoftDeadline: true,
		}
	}
	if !s.shares.responseStart(j, f).After(s.latestResponse(j, now)) {
		return f, nil
	}
	_, bottleneck := s.estimateEnd(j, now, true)
	return f, &RejectedError{
		Message:    fmt.Sprintf("the workspace is over its share, and the answer would begin %s past the objective; %s is the bottleneck", start.Sub(j.SoftDeadline).Round(time.Millisecond), bottleneck),
		RetryAfter: max(s.retryAfter(bottleneck), minShareRetryAfter),
	}
}

// responseStart returns when the response to a job over the share is expected to start.
func (w *workspaceShares) responseStart(j Job, f forecast) time.Time {
	return f.end.Add(j.TimeAfterStages + w.overrun[j.Priority])
}

// updateOverrun updates the overrun of a priority with the time by which a job over the share exceeded its estimate. It
// rises until overrunOdds of overrunOdds+1 jobs stay within it, or to maxOverrun. Without that bound too few jobs over the
// share are accepted, and upstreams are idle, when there is little more work than they can do.
func (w *workspaceShares) updateOverrun(j *job, err error) {
	var ownerChanged *OwnerChangedError
	if errors.Is(err, context.Canceled) || errors.As(err, &ownerChanged) {
		return
	}
	late := time.Since(j.expectedEnd)
	old := w.overrun[j.Priority]
	if late > old {
		w.overrun[j.Priority] = min(old+overrunStep, maxOverrun)
		return
	}
	w.overrun[j.Priority] = max(old-overrunStep/overrunOdds, 0)
}
