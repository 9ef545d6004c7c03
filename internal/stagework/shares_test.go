package stagework

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	shareWorkspaces = 16
	// largeWorkspaces are the first ones, which offer largeDemand of all work together.
	largeWorkspaces = 3
	largeDemand     = 0.6
	shareUpstreams  = 4
	// shareRoom is the number of jobs of two pieces a second that the upstreams of sharesPlay can do.
	shareRoom = shareUpstreams * 8 / 0.368 / 2
	// retryPause is how long a caller waits that retries at once.
	retryPause = 20 * time.Millisecond
)

// sharesPlay is a load of 16 workspaces, three of them large, on a service of stages.
type sharesPlay struct {
	fair bool
	// demand is the offered work as a multiple of what the upstreams can do.
	demand  float64
	seconds int
	// retries is a workspace whose callers retry at once until their objective has passed, or empty.
	retries string
	// urgent is the share of the jobs of each workspace that are of a more urgent kind, in tenths.
	urgent int
}

// served counts the requests of a workspace, or of a kind: those that were done in time, late, and after the end of
// the load. inVain counts the jobs that were accepted and rejected later.
type served struct {
	offered, attempts, inTime, late, afterLoad, inVain int
}

// duringLoad returns how many requests were done while the load lasted.
func (s served) duringLoad() int { return s.inTime + s.late - s.afterLoad }

// part returns the part of the requests that were done.
func (s served) part() float64 { return float64(s.inTime+s.late) / float64(max(s.offered, 1)) }

// sharesResult is what the callers get, by workspace and by priority.
type sharesResult struct {
	mu         sync.Mutex
	workspaces map[string]served
	kinds      map[int]served
}

func (r *sharesResult) add(j Job, s served) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workspaces[j.Workspace] = r.workspaces[j.Workspace].plus(s)
	r.kinds[j.Priority] = r.kinds[j.Priority].plus(s)
}

func (s served) plus(o served) served {
	return served{
		offered:   s.offered + o.offered,
		attempts:  s.attempts + o.attempts,
		inTime:    s.inTime + o.inTime,
		late:      s.late + o.late,
		inVain:    s.inVain + o.inVain,
		afterLoad: s.afterLoad + o.afterLoad,
	}
}

// sum returns what the workspaces from one index up to another get together.
func (r *sharesResult) sum(from, to int) served {
	var sum served
	for i := from; i < to; i++ {
		sum = sum.plus(r.workspaces[workspaceName(i)])
	}
	return sum
}

func workspaceName(i int) string { return fmt.Sprintf("w%02d", i) }

func (p sharesPlay) perSecond(i int) float64 {
	if i < largeWorkspaces {
		return p.demand * shareRoom * largeDemand / largeWorkspaces
	}
	return p.demand * shareRoom * (1 - largeDemand) / (shareWorkspaces - largeWorkspaces)
}

func (p sharesPlay) play(t *testing.T) *sharesResult {
	r := &sharesResult{
		workspaces: make(map[string]served),
		kinds:      make(map[int]served),
	}
	synctest.Test(t, func(t *testing.T) {
		run := newScriptRun(t)
		run.scheduler.shares = newWorkspaceShares(p.fair)
		run.command(strings.Fields("service render batch=8 call=200ms item=21ms memory=18000000 lifetime=4s"))
		for i := range shareUpstreams {
			run.command(strings.Fields(fmt.Sprintf("upstream r%02d render dc=d%d", i, i%2)))
		}
		end := time.Now().Add(time.Duration(p.seconds) * time.Second)
		for i := range shareWorkspaces {
			interval := time.Duration(float64(time.Second) / p.perSecond(i))
			for n := range int(p.perSecond(i) * float64(p.seconds)) {
				run.wg.Go(func() {
					time.Sleep(time.Duration(n)*interval + time.Duration(i)*interval/shareWorkspaces)
					p.call(run.scheduler, r, i, n, end)
				})
			}
		}
		run.finish(true)
	})
	return r
}

// call is one request of a workspace, which it may submit several times.
func (p sharesPlay) call(s *Scheduler, r *sharesResult, workspace, n int, end time.Time) {
	const objective = 1600 * time.Millisecond
	j := Job{
		RequestID:       fmt.Sprintf("%s-%05d", workspaceName(workspace), n),
		Workspace:       workspaceName(workspace),
		Priority:        1,
		SoftDeadline:    time.Now().Add(objective),
		Deadline:        time.Now().Add(5 * objective),
		Patience:        time.Now().Add(4 * objective),
		TimeAfterStages: 200 * time.Millisecond,
		Stages: []Stage{
			{
				Service: "render",
				Pieces:  2,
			},
		},
	}
	if n%10 < p.urgent {
		j.Priority = 0
	}
	got := served{
		offered: 1,
	}
	for {
		got.attempts++
		began := time.Now()
		if ok := submitAndWait(s, j); ok {
			break
		}
		if time.Now().After(began) {
			got.inVain++
		}
		time.Sleep(retryPause)
		if j.Workspace != p.retries || time.Now().After(j.SoftDeadline) {
			r.add(j, got)
			return
		}
	}
	if time.Now().Add(j.TimeAfterStages).After(j.SoftDeadline) {
		got.late++
	} else {
		got.inTime++
	}
	if time.Now().After(end) {
		got.afterLoad++
	}
	r.add(j, got)
}

func submitAndWait(s *Scheduler, j Job) bool {
	submitted, err := s.Submit(j)
	if err != nil {
		return false
	}
	defer submitted.Release()
	select {
	case <-submitted.Done():
	case <-time.After(time.Until(j.Deadline)):
		return false
	}
	_, err = submitted.Wait(context.Background())
	return err == nil
}

// share returns the max-min share of what was done while the load lasted, in requests.
func (r *sharesResult) share() int {
	left, open := r.sum(0, shareWorkspaces).duringLoad(), shareWorkspaces
	small := r.workspaces[workspaceName(largeWorkspaces)].offered
	if small <= left/open {
		left, open = left-small*(shareWorkspaces-largeWorkspaces), largeWorkspaces
	}
	return left / open
}

// excess returns by what part of its share the largest workspace exceeds it.
func (r *sharesResult) excess() float64 {
	return float64(r.workspaces[workspaceName(0)].duringLoad())/float64(r.share()) - 1
}

func (r *sharesResult) log(t *testing.T, p sharesPlay) {
	t.Helper()
	t.Logf("%+v: all %+v", p, r.sum(0, shareWorkspaces))
	t.Logf("  large %+v, small %+v", r.sum(0, largeWorkspaces), r.sum(largeWorkspaces, shareWorkspaces))
	t.Logf("  the largest %+v, share %d, excess %.2f; kinds %+v", r.workspaces[workspaceName(0)], r.share(), r.excess(), r.kinds)
}

// playBoth plays a load without and with shares.
func (p sharesPlay) playBoth(t *testing.T) (off, fair *sharesResult) {
	off = p.play(t)
	off.log(t, p)
	p.fair = true
	fair = p.play(t)
	fair.log(t, p)
	return off, fair
}

// TestSharesWithSpareCapacity guards against shares that change what is done although all work can be done.
func TestSharesWithSpareCapacity(t *testing.T) {
	off, fair := sharesPlay{
		demand:  1,
		seconds: 24,
	}.playBoth(t)
	require.Equal(t, off.workspaces, fair.workspaces)
	all := fair.sum(0, shareWorkspaces)
	require.Equal(t, all.offered, all.inTime, "in time")
}

// TestSharesUnderLoad guards against workspaces that get little because a few large ones offer more than there is
// capacity for, and against shares that cost capacity.
func TestSharesUnderLoad(t *testing.T) {
	// maxExcess is by what part of its share the largest workspace may exceed it.
	const maxExcess = 0.2
	for _, demand := range []float64{1.3, 1.7, 3.2} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			off, fair := sharesPlay{
				demand:  demand,
				seconds: 24,
			}.playBoth(t)
			total := fair.sum(0, shareWorkspaces).duringLoad()
			require.GreaterOrEqual(t, total, off.sum(0, shareWorkspaces).duringLoad()*98/100, "done while the load lasted")
			require.GreaterOrEqual(t, fair.sum(0, shareWorkspaces).inTime, off.sum(0, shareWorkspaces).inTime*90/100)
			small, before := fair.sum(largeWorkspaces, shareWorkspaces), off.sum(largeWorkspaces, shareWorkspaces)
			require.Greater(t, small.inTime, before.inTime*110/100, "of small workspaces")
			if small.offered/(shareWorkspaces-largeWorkspaces) < total/shareWorkspaces {
				require.GreaterOrEqual(t, small.inTime, small.offered*95/100, "of small workspaces within their share")
			}
			require.Less(t, fair.excess(), min(off.excess(), maxExcess))
			for i := range shareWorkspaces {
				got := fair.workspaces[workspaceName(i)].duringLoad()
				require.GreaterOrEqual(t, got, total/shareWorkspaces/4, "of %s, of %d of all", workspaceName(i), total)
			}
		})
	}
}

// TestRetriesPayFromOwnShare guards against a workspace that gets more, at the cost of others, by submitting at once
// and often what was rejected.
func TestRetriesPayFromOwnShare(t *testing.T) {
	p := sharesPlay{
		fair:    true,
		demand:  3.2,
		seconds: 10,
	}
	patient := p.play(t)
	patient.log(t, p)
	p.retries = workspaceName(0)
	retrying := p.play(t)
	retrying.log(t, p)
	p.fair = false
	off := p.play(t)
	off.log(t, p)
	small := retrying.sum(largeWorkspaces, shareWorkspaces).duringLoad()
	require.GreaterOrEqual(t, small, patient.sum(largeWorkspaces, shareWorkspaces).duringLoad()*90/100, "of small workspaces")
	got := retrying.workspaces[p.retries].duringLoad()
	require.LessOrEqual(t, got, patient.workspaces[p.retries].duringLoad()*125/100, "of the one that retries")
	require.Less(t, got, off.workspaces[p.retries].duringLoad()/2, "of the one that retries, compared with no shares")
}

// TestSharesKeepPriorities guards against a more urgent kind of request that is served less often than a less urgent
// one, or than without shares, because its workspace is over its share.
func TestSharesKeepPriorities(t *testing.T) {
	off, fair := sharesPlay{
		demand:  1.7,
		seconds: 24,
		urgent:  3,
	}.playBoth(t)
	require.GreaterOrEqual(t, fair.kinds[0].part(), fair.kinds[1].part())
	require.GreaterOrEqual(t, fair.kinds[0].inTime, off.kinds[0].inTime)
}
