package peer

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"sequoiafork/internal/routing"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/wire/peerpb"
)

// slowInvoker completes each call after callTime, and counts the pieces that ran and the results
// that were freed.
type slowInvoker struct {
	callTime time.Duration
	ran      atomic.Int64
	freed    atomic.Int64
}

func (v *slowInvoker) Run(_ context.Context, _ stagework.Upstream, items []stagework.Item) ([]stagework.ItemResult, error) {
	time.Sleep(v.callTime)
	results := make([]stagework.ItemResult, len(items))
	for i := range items {
		results[i].Handle = fmt.Sprint("r", v.ran.Add(1))
	}
	return results, nil
}

func (v *slowInvoker) Free(_ context.Context, _ stagework.Upstream, handles []string) error {
	v.freed.Add(int64(len(handles)))
	return nil
}

func (*slowInvoker) FreeMemory(context.Context, stagework.Upstream) (int64, error) {
	return 1 << 30, nil
}

// newScheduler returns a scheduler with one upstream.
func newScheduler(v *slowInvoker) *stagework.Scheduler {
	s := stagework.New(stagework.Config{
		Invoker: v,
	})
	s.SetServices([]routing.Service{
		{
			Name: "w",
			Batch: &routing.BatchSpec{
				Concurrency:       1,
				MaxSize:           8,
				CallOverhead:      v.callTime,
				ItemTime:          time.Millisecond,
				ResultMemoryBytes: 1 << 20,
				ResultLifetime:    4 * time.Second,
			},
		},
	})
	s.SetUpstreams([]stagework.Upstream{
		{
			Incarnation: "u1",
			Addr:        "192.0.2.1:1",
			Service:     "w",
		},
	})
	return s
}

// startOwner runs a node with a scheduler of stage work behind a relay.
func startOwner(t *testing.T, s *stagework.Scheduler) (owner *testNode, r *relay) {
	t.Helper()
	lis := listen(t, "127.0.0.1:0")
	r = startRelay(t, lis.Addr().String())
	owner = startNodeWith(t, lis, r.lis.Addr().String(), "owner", s)
	return owner, r
}

func stageWorkJob() stagework.Job {
	return stagework.Job{
		RequestID:    "j",
		SoftDeadline: time.Now().Add(waitTimeout),
		Deadline:     time.Now().Add(waitTimeout),
		Stages: []stagework.Stage{
			{
				Service:     "w",
				Pieces:      3,
				ResultBytes: 1000,
			},
		},
	}
}

// TestJobOutlivesItsConnection guards against a reset of connections that ends the jobs at an
// owner which is alive: submitted again they must be the same jobs, whose pieces run once.
func TestJobOutlivesItsConnection(t *testing.T) {
	v := &slowInvoker{
		callTime: 100 * time.Millisecond,
	}
	owner, r := startOwner(t, newScheduler(v))
	lis := listen(t, "127.0.0.1:0")
	client := startNode(t, lis, lis.Addr().String(), "client")
	submit := func(j stagework.Job) *RemoteJob {
		job, err := client.node.StageWork(t.Context(), owner.table.Self(), j, time.Second)
		require.NoError(t, err)
		return job
	}
	j := stageWorkJob()
	first := submit(j)
	r.reset()
	_, err := first.Wait()
	var lost *CallError
	require.ErrorAs(t, err, &lost)
	first.Release()

	j.Resubmitted = true
	second := submit(j)
	handles, err := second.Wait()
	require.NoError(t, err)
	require.Len(t, handles, 3)
	require.Len(t, second.Results(), 3)

	r.reset()
	require.Error(t, second.AwaitEnd(), "the results are needed: the break must be noticed")
	j.Results = second.Results()
	third := submit(j)
	again, err := third.Wait()
	require.NoError(t, err)
	require.Equal(t, handles, again)
	require.Len(t, third.Results(), 3, "each result is reported once")
	require.Equal(t, int64(3), v.ran.Load())
	require.Zero(t, v.freed.Load())

	third.Release()
	require.NoError(t, third.AwaitEnd())
	require.Eventually(t, func() bool { return v.freed.Load() == 3 }, waitTimeout, 10*time.Millisecond)
}

// TestReleaseFreesAtOnce checks that the end of a call is told apart from a broken connection:
// its results are freed without the delay that a lost submitter is given.
func TestReleaseFreesAtOnce(t *testing.T) {
	v := &slowInvoker{
		callTime: 10 * time.Millisecond,
	}
	owner, _ := startOwner(t, newScheduler(v))
	lis := listen(t, "127.0.0.1:0")
	client := startNode(t, lis, lis.Addr().String(), "client")
	job, err := client.node.StageWork(t.Context(), owner.table.Self(), stageWorkJob(), time.Second)
	require.NoError(t, err)
	_, err = job.Wait()
	require.NoError(t, err)
	began := time.Now()
	job.Release()
	require.Eventually(t, func() bool { return v.freed.Load() == 3 }, waitTimeout, time.Millisecond)
	require.Less(t, time.Since(began), 300*time.Millisecond)
}

// slowStream is the server's side of a call whose messages each take sendTime. It records the results that are sent.
type slowStream struct {
	grpc.BidiStreamingServer[peerpb.StageWorkRequest, peerpb.StageWorkResponse]

	ctx      context.Context
	sendTime time.Duration
	results  []*peerpb.StageResult
	moved    bool
}

func (s *slowStream) Context() context.Context { return s.ctx }

func (s *slowStream) Send(r *peerpb.StageWorkResponse) error {
	time.Sleep(s.sendTime)
	s.results = append(s.results, r.GetMade()...)
	s.moved = s.moved || r.GetMoved()
	return nil
}

// TestHandedOffJobSendsResultsOnce guards against pieces that run twice, since the owner hands a job off and does not
// send the results that arrive then, and against results that are sent twice over a slow link.
func TestHandedOffJobSendsResultsOnce(t *testing.T) {
	const callTime = 50 * time.Millisecond
	for range 20 { // Results and end are there at once: either may be seen first.
		synctest.Test(t, func(t *testing.T) {
			s := newScheduler(&slowInvoker{
				callTime: callTime,
			})
			j := stageWorkJob()
			for i := range 2 {
				j.Stages = append(j.Stages, stagework.Stage{
					Service:     "w",
					DependsOn:   []int{i},
					Pieces:      1,
					ResultBytes: 1000,
				})
			}
			job, err := s.Submit(j)
			require.NoError(t, err)
			st := &slowStream{
				ctx:      t.Context(),
				sendTime: callTime * 4 / 5,
			}
			end := make(chan error, 1)
			reported := make(chan error, 1)
			time.Sleep(callTime / 2)
			go func() { reported <- reportJob(st, job, end) }()
			time.Sleep(callTime) // The results of the first stage are being sent, and the second stage is in a call.
			s.HandOffJobs()
			time.Sleep(time.Second)
			end <- io.EOF
			require.ErrorIs(t, <-reported, io.EOF)
			require.True(t, st.moved)
			require.Len(t, st.results, 4)
			job.Release()
		})
	}
}

// TestJobKeepsWorkspace guards against jobs that reach the owner without their workspace and are charged to another.
func TestJobKeepsWorkspace(t *testing.T) {
	j := stageWorkJob()
	j.Workspace = "ws"
	require.Equal(t, "ws", stageJob(stageWorkRequest(j), time.Now()).Workspace)
	j.Workspace = ""
	require.Empty(t, stageJob(stageWorkRequest(j), time.Now()).Workspace)
}
