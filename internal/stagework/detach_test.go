package stagework

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func startTestScheduler() (*Scheduler, *fakeUpstreams) {
	f := testFakes()
	s := New(Config{
		Invoker: f,
	})
	s.SetServices(testServices())
	s.SetUpstreams(testUpstreams())
	return s, f
}

func (j Job) resubmitted() Job {
	j.Resubmitted = true
	return j
}

// TestResubmittedJobIsKept guards against a reset of connections that ends the jobs of an owner
// which is alive: the submitters submit them again, and nothing may run twice or be freed.
func TestResubmittedJobIsKept(t *testing.T) {
	for name, wait := range map[string]time.Duration{
		"before its call ends": 50 * time.Millisecond,
		"after it is done":     300 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, f := startTestScheduler()
				j := testJob("j")
				first, err := s.Submit(j)
				require.NoError(t, err)
				time.Sleep(wait)
				first.Detach()
				time.Sleep(detachedTTL / 2)
				second, err := s.Submit(j.resubmitted())
				require.NoError(t, err)
				time.Sleep(2 * detachedTTL)
				first.Release() // A late end of the first connection.
				handles, err := second.Wait(t.Context())
				require.NoError(t, err)
				require.Len(t, handles, 3)
				require.Len(t, f.list["u1"].held, 3, "results that exist")
				results, _ := second.Results(0)
				require.Len(t, results, 3, "results that the new submitter learns of")
				require.Equal(t, 1, f.calls)
				second.Release()
				synctest.Wait()
				require.Empty(t, f.list["u1"].held)
				require.Zero(t, s.Len())
				require.Empty(t, s.byRequest)
			})
		})
	}
}

// TestDetachedJobIsReleased checks that nothing is held for a submitter that does not return.
func TestDetachedJobIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := startTestScheduler()
		submitted, err := s.Submit(testJob("j"))
		require.NoError(t, err)
		_, err = submitted.Wait(t.Context())
		require.NoError(t, err)
		submitted.Detach()
		time.Sleep(detachedTTL)
		synctest.Wait()
		require.Zero(t, s.Len())
		require.Empty(t, f.list["u1"].held)
	})
}

// TestRerunJobIsNew checks that a job whose results are gone runs again although the scheduler
// has not seen the end of its first call: only a resubmitted one is taken over.
func TestRerunJobIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := startTestScheduler()
		first, err := s.Submit(testJob("j"))
		require.NoError(t, err)
		before, err := first.Wait(t.Context())
		require.NoError(t, err)
		second, err := s.Submit(testJob("j"))
		require.NoError(t, err)
		after, err := second.Wait(t.Context())
		require.NoError(t, err)
		require.NotEqual(t, before, after)
		first.Release()
		synctest.Wait()
		require.Len(t, f.list["u1"].held, 3)
		second.Release()
		other := testJob("j").resubmitted()
		other.InputKey = "other"
		third, err := s.Submit(other)
		require.NoError(t, err)
		_, err = third.Wait(t.Context())
		require.NoError(t, err)
		third.Release()
		require.Equal(t, 3, f.calls)
	})
}

// TestLateJobIsAccepted guards against rejecting every job that is submitted after its soft
// deadline, such as that of a stream that goes on at another engine, although its caller waits.
func TestLateJobIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := startTestScheduler()
		j := testJob("j")
		j.SoftDeadline = time.Now().Add(-time.Second)
		j.Patience = time.Now().Add(3 * time.Second)
		submitted, err := s.Submit(j)
		require.NoError(t, err)
		_, err = submitted.Wait(t.Context())
		require.NoError(t, err)
		submitted.Release()
		j.Patience = time.Now().Add(50 * time.Millisecond)
		_, err = s.Submit(j)
		var rejected *RejectedError
		require.ErrorAs(t, err, &rejected, "its caller leaves before the stages can be done")
	})
}
