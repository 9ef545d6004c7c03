package peer

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/era"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/streamorigin"
	"sequoiafork/internal/wire/peerpb"
)

// failingInvoker fails each call.
type failingInvoker struct{}

func (failingInvoker) Run(context.Context, stagework.Upstream, []stagework.Item) ([]stagework.ItemResult, error) {
	return nil, errors.New("no upstream in this test")
}

func (failingInvoker) Free(context.Context, stagework.Upstream, []string) error { return nil }

func (failingInvoker) FreeMemory(context.Context, stagework.Upstream) (int64, error) { return 0, nil }

func newFuzzScheduler() *stagework.Scheduler {
	s := stagework.New(stagework.Config{
		Invoker: failingInvoker{},
	})
	s.SetServices([]routing.Service{
		{
			Name: "w",
			Batch: &routing.BatchSpec{
				Concurrency:       1,
				MaxSize:           8,
				CallOverhead:      time.Millisecond,
				ResultMemoryBytes: 1 << 20,
				ResultLifetime:    time.Second,
			},
		},
	})
	s.SetUpstreams([]stagework.Upstream{
		{
			Incarnation: "i",
			Service:     "w",
		},
	})
	return s
}

// FuzzStageWork guards against a job of a peer that ends the process of the owner or holds the lock of its scheduler.
func FuzzStageWork(f *testing.F) {
	stage := func(pieces int32, after ...int32) *peerpb.StageWorkStage {
		return &peerpb.StageWorkStage{
			Service:     "w",
			After:       after,
			Pieces:      pieces,
			ResultBytes: 1,
		}
	}
	for _, req := range []*peerpb.StageWorkRequest{
		{},
		{
			RequestId:   "r",
			ObjectiveMs: 1000,
			DeadlineMs:  2000,
			Stages:      []*peerpb.StageWorkStage{stage(2), stage(3, 0)},
			Made: []*peerpb.StageResult{
				{
					Stage:    1,
					Piece:    2,
					Handle:   "h",
					Upstream: "i",
				},
			},
		},
		{
			Priority:    math.MinInt32,
			ObjectiveMs: math.MaxInt64,
			DeadlineMs:  math.MinInt64,
			PatienceMs:  math.MaxInt64,
			RemainingMs: math.MinInt64,
			Resubmitted: true,
			Stages:      []*peerpb.StageWorkStage{stage(1, 0), stage(-1, -1), stage(math.MaxInt32, 7)},
		},
		{
			ObjectiveMs: 1000,
			DeadlineMs:  1000,
			Stages:      []*peerpb.StageWorkStage{stage(0), stage(1, 0, 0), stage(0, 1)},
			Made: []*peerpb.StageResult{
				{
					Stage: -1,
					Piece: math.MaxInt32,
				},
			},
		},
	} {
		raw, err := proto.Marshal(req)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var req peerpb.StageWorkRequest
		if proto.Unmarshal(raw, &req) != nil {
			return
		}
		s := newFuzzScheduler()
		for range 2 {
			if submitted, err := s.Submit(stageJob(&req, time.Now())); err == nil {
				submitted.Release()
			}
		}
		require.Zero(t, s.Len())
	})
}

// FuzzResponses guards against a response of a peer that ends the process which reads it.
func FuzzResponses(f *testing.F) {
	for _, msg := range []proto.Message{
		&peerpb.StageWorkResponse{
			Refused: &peerpb.StageWorkRefusal{
				RetryAfterMs: math.MinInt64,
			},
			Made: []*peerpb.StageResult{
				{
					Stage: math.MinInt32,
				},
			},
		},
		&peerpb.ReadTopicResponse{
			Records: []*peerpb.TopicRecord{
				{
					Key:       []byte("k"),
					Unchanged: true,
				},
				{
					Deleted: true,
				},
			},
		},
		&peerpb.AnnounceOriginsRequest{
			Origins: []*peerpb.StreamOrigin{
				{
					RequestId: []byte("r"),
					AgeMs:     math.MaxInt64,
				},
			},
		},
	} {
		raw, err := proto.Marshal(msg)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var work peerpb.StageWorkResponse
		if proto.Unmarshal(raw, &work) == nil {
			r := &RemoteJob{}
			r.addResults(work.GetMade())
			r.addResults(work.GetMade())
			_ = stageWorkError(&work)
		}
		var page peerpb.ReadTopicResponse
		if proto.Unmarshal(raw, &page) == nil {
			_ = topicRecords(page.GetRecords(), era.Position{
				Offset: math.MaxInt64,
			})
		}
		var origins peerpb.AnnounceOriginsRequest
		if proto.Unmarshal(raw, &origins) == nil {
			table := streamorigin.New(streamorigin.Config{})
			s := &server{
				node: New(Config{
					Origins: table,
				}),
			}
			_, _ = s.AnnounceOrigins(context.Background(), &origins)
			_, _ = s.QueryOrigin(context.Background(), &peerpb.QueryOriginRequest{})
		}
	})
}
