package stagework

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/routing"
)

func testServices() []routing.Service {
	return []routing.Service{
		{
			Name: "w",
			Batch: &routing.BatchSpec{
				Concurrency:       1,
				MaxSize:           8,
				CallOverhead:      100 * time.Millisecond,
				ItemTime:          time.Millisecond,
				ResultMemoryBytes: 1 << 20,
				ResultLifetime:    4 * time.Second,
			},
		},
	}
}

func testJob(id string) Job {
	now := time.Now()
	return Job{
		RequestID:    id,
		SoftDeadline: now.Add(2 * time.Second),
		Deadline:     now.Add(8 * time.Second),
		Stages: []Stage{
			{
				Service:     "w",
				Pieces:      3,
				ResultBytes: 1000,
			},
		},
	}
}

func testFakes() *fakeUpstreams {
	return &fakeUpstreams{
		began: time.Now(),
		list: map[string]*fakeUpstream{
			"u1": {
				turn:     make(chan struct{}, 1),
				callTime: 100 * time.Millisecond,
				itemTime: time.Millisecond,
				lifetime: 4 * time.Second,
				memory:   1 << 20,
				held:     make(map[string]int64),
				factor:   1,
				sizes:    func(Item) int64 { return 1000 },
			},
		},
	}
}

func testUpstreams() []Upstream {
	return []Upstream{
		{
			Incarnation: "u1",
			Addr:        "u1",
			Service:     "w",
		},
	}
}

// TestJobWaitsForServices guards against an owner that was restarted with all others and fails
// the jobs that they submit before it has read the routes.
func TestJobWaitsForServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{
			Invoker: testFakes(),
		})
		submitted, err := s.Submit(testJob("j"))
		require.NoError(t, err)
		defer submitted.Release()
		time.AfterFunc(configurationTimeout/2, func() {
			s.SetServices(testServices())
			s.SetUpstreams(testUpstreams())
		})
		handles, err := submitted.Wait(t.Context())
		require.NoError(t, err)
		require.Len(t, handles, 3)
	})
}

// TestJobWaitsForUpstreams is the same for an owner that has got the routes from a peer while the
// store is unreachable, and knows no upstream yet.
func TestJobWaitsForUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{
			Invoker: testFakes(),
		})
		s.SetServices(testServices())
		submitted, err := s.Submit(testJob("j"))
		require.NoError(t, err)
		defer submitted.Release()
		time.AfterFunc(configurationTimeout/2, func() { s.SetUpstreams(testUpstreams()) })
		handles, err := submitted.Wait(t.Context())
		require.NoError(t, err)
		require.Len(t, handles, 3)
	})
}

// TestJobWithoutServicesIsRejected checks that the wait for the first services is bounded and
// ends with a rejection, which states that nothing has run.
func TestJobWithoutServicesIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{
			Invoker: testFakes(),
		})
		began := time.Now()
		submitted, err := s.Submit(testJob("j"))
		require.NoError(t, err)
		defer submitted.Release()
		_, err = submitted.Wait(t.Context())
		var rejected *RejectedError
		require.ErrorAs(t, err, &rejected)
		require.Equal(t, configurationTimeout, time.Since(began))
	})
}
