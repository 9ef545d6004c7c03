package stagework

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/routing"
)

const (
	// coldLimit is how many calls a cold upstream of the tests may get in any second, and coldTime how long it is cold.
	coldLimit = 15
	coldTime  = 8 * time.Second
)

// coldInvoker runs calls and records when they reach an upstream, together with those that free results.
type coldInvoker struct {
	mu      sync.Mutex
	reached map[string][]time.Time
}

func (v *coldInvoker) arrive(u Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reached[u.Incarnation] = append(v.reached[u.Incarnation], time.Now())
}

// Run implements Invoker.
func (v *coldInvoker) Run(_ context.Context, u Upstream, items []Item) ([]ItemResult, error) {
	v.arrive(u)
	time.Sleep(10 * time.Millisecond)
	results := make([]ItemResult, len(items))
	for i, it := range items {
		results[i].Handle = fmt.Sprint(it.RequestID, it.Stage, it.Piece)
	}
	return results, nil
}

// Free implements Invoker.
func (v *coldInvoker) Free(_ context.Context, u Upstream, _ []string) error {
	v.arrive(u)
	return nil
}

// FreeMemory implements Invoker.
func (*coldInvoker) FreeMemory(context.Context, Upstream) (int64, error) { return 1 << 20, nil }

// mostInASecond returns the largest number of calls that an upstream got in a second before a time.
func (v *coldInvoker) mostInASecond(end time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	most := 0
	for _, list := range v.reached {
		for i, from := range list {
			n := 0
			for _, at := range list[i:] {
				if at.Sub(from) <= time.Second && at.Before(end) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// coldScheduler returns a scheduler of two upstreams that are cold for coldTime from now on, for a daemon that has rights
// and beats until stop is called.
func coldScheduler(v *coldInvoker, owner string) (s *Scheduler, end time.Time, stop func()) {
	rights := coldstart.NewRights(time.Now())
	rights.SetView(coldstart.View{
		Self:   "self",
		Living: []string{"self", "other"},
		Owner:  owner,
		Known:  2,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			rights.Beat(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(4 * time.Second)
	s = New(Config{
		Invoker: v,
		Cold:    rights,
	})
	s.SetServices([]routing.Service{
		{
			Name: "w",
			Batch: &routing.BatchSpec{
				Concurrency:       4,
				MaxSize:           2,
				CallOverhead:      10 * time.Millisecond,
				ItemTime:          time.Millisecond,
				ResultMemoryBytes: 1 << 20,
				ResultLifetime:    4 * time.Second,
			},
		},
	})
	end = time.Now().Add(coldTime)
	var list []Upstream
	for i := range 2 {
		list = append(list, Upstream{
			Incarnation: fmt.Sprint("i-", i),
			Addr:        fmt.Sprintf("192.0.2.%d:80", i+1),
			Service:     "w",
			Cold: coldstart.Mark{
				Until: end,
				Limit: coldLimit,
			},
		})
	}
	s.SetUpstreams(list)
	return s, end, func() {
		cancel()
		time.Sleep(time.Second)
	}
}

// submitFor submits a job every 10 ms for a time, and returns the errors of those that were not accepted or did not end.
func submitFor(s *Scheduler, d time.Duration) []error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	began := time.Now()
	for i := 0; time.Since(began) < d; i++ {
		job, err := s.Submit(Job{
			RequestID:    fmt.Sprint(began.UnixNano(), i),
			SoftDeadline: time.Now().Add(time.Second),
			Deadline:     time.Now().Add(2 * time.Second),
			Stages: []Stage{
				{
					Service:     "w",
					Pieces:      2,
					ResultBytes: 1 << 10,
				},
			},
		})
		if err != nil {
			mu.Lock()
			errs = append(errs, err)
			mu.Unlock()
		} else {
			wg.Go(func() {
				if _, err := job.Wait(context.Background()); err != nil {
					mu.Lock()
					defer mu.Unlock()
					errs = append(errs, err)
				}
				job.Release()
			})
		}
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return errs
}

// TestOwnerCallsColdUpstreamsWithinTheLimit guards against an owner of the stage work that calls cold upstreams as often as
// others, or not at all.
func TestOwnerCallsColdUpstreamsWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &coldInvoker{
			reached: make(map[string][]time.Time),
		}
		s, end, stop := coldScheduler(v, "self")
		defer stop()
		errs := submitFor(s, coldTime)
		require.NotEmpty(t, errs)
		most := v.mostInASecond(end)
		require.LessOrEqual(t, 2*most, coldLimit, "two owners in two views stay within the limit")
		require.Greater(t, 4*most, coldLimit, "at least a quarter of the limit is used")
		require.Empty(t, submitFor(s, 2*time.Second), "the upstreams are warm")
	})
}

// TestOthersCallNoColdUpstream guards against daemons that call cold upstreams from their own schedulers when they don't
// reach the owner, and against jobs that wait there instead of being told when there is capacity.
func TestOthersCallNoColdUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &coldInvoker{
			reached: make(map[string][]time.Time),
		}
		s, end, stop := coldScheduler(v, "other")
		defer stop()
		errs := submitFor(s, time.Second)
		require.Len(t, errs, 100)
		var rejected *RejectedError
		require.ErrorAs(t, errs[0], &rejected)
		require.GreaterOrEqual(t, rejected.RetryAfter, coldTime)
		require.Less(t, rejected.RetryAfter, coldTime+time.Second)
		time.Sleep(time.Until(end))
		require.Zero(t, v.mostInASecond(end))
		require.Empty(t, submitFor(s, time.Second), "the upstreams are warm")
	})
}
