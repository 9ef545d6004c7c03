package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/stagework"
)

// countedStages runs stages in a time, and rejects those of a request that has submitted maxJobs already.
type countedStages struct {
	stageTime time.Duration
	maxJobs   int

	mu        sync.Mutex
	submitted map[string]int
	total     atomic.Int64
	// endedEarly counts jobs whose context had ended when they were released.
	endedEarly atomic.Int64
}

// Submit implements StageScheduler.
func (s *countedStages) Submit(ctx context.Context, j stagework.Job) (SubmittedJob, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.submitted == nil {
		s.submitted = make(map[string]int)
	}
	if s.submitted[j.RequestID] >= s.maxJobs {
		return nil, &stagework.RejectedError{
			Message: "the stages can't be done before the deadline",
		}
	}
	s.submitted[j.RequestID]++
	s.total.Add(1)
	return &countedJob{
		stages: s,
		ctx:    ctx,
	}, nil
}

type countedJob struct {
	stages *countedStages
	ctx    context.Context
}

// Wait implements SubmittedJob.
func (j *countedJob) Wait(ctx context.Context) ([]string, error) {
	return []string{"result"}, sleepFor(ctx, j.stages.stageTime)
}

// Release implements SubmittedJob.
func (j *countedJob) Release() {
	if j.ctx.Err() != nil {
		j.stages.endedEarly.Add(1)
	}
}

// clientFunc is an UpstreamClient.
type clientFunc func(ctx context.Context, call Call) (*Response, error)

// Call implements UpstreamClient.
func (f clientFunc) Call(ctx context.Context, call Call) (*Response, error) { return f(ctx, call) }

// sequence returns an UpstreamClient whose nth call is handled by the nth function, further ones by the last.
func sequence(calls ...clientFunc) clientFunc {
	var n atomic.Int64
	return func(ctx context.Context, call Call) (*Response, error) {
		i := min(int(n.Add(1)), len(calls)) - 1
		return calls[i](ctx, call)
	}
}

// scripted returns a call of an upstream that behaves as a line of the scripts says.
func scripted(words ...string) clientFunc {
	return func(ctx context.Context, call Call) (*Response, error) {
		return scriptedResponse(ctx, call, words)
	}
}

// resetAfter returns a call with some events, and a reset after a time of silence.
func resetAfter(events int, silent time.Duration) clientFunc {
	return func(ctx context.Context, _ Call) (*Response, error) {
		return &Response{
			Status:   http.StatusOK,
			Verified: true,
			Body: io.NopCloser(io.MultiReader(
				eventsOf(ctx, []string{"1", fmt.Sprint(events), "whole"}),
				&resetReader{
					ctx:    ctx,
					silent: silent,
				})),
		}, nil
	}
}

type resetReader struct {
	ctx    context.Context
	silent time.Duration
}

// Read implements io.Reader.
func (r *resetReader) Read([]byte) (int, error) {
	if err := sleepFor(r.ctx, r.silent); err != nil {
		return 0, err
	}
	return 0, io.ErrUnexpectedEOF
}

// serveResumable serves one resumable stream with stages.
func serveResumable(t *testing.T, client UpstreamClient, stages StageScheduler, timeout string) (outcome.Outcome, *recordedResponse) {
	f := New(Config{
		Client:    client,
		Stages:    stages,
		Upstreams: threeUpstreams(0),
		Table: tableOf(t, map[string]string{
			"kind":      "resumable_stream",
			"attempts":  "2",
			"timeout":   timeout,
			"objective": "2s",
		}),
		RetryRatio: 0.2,
		RetryBurst: 10,
	})
	response := &recordedResponse{}
	o := f.Serve(t.Context(), Request{
		ID:          "r1",
		Method:      http.MethodPost,
		Target:      "/a/x",
		Path:        "/a/x",
		Host:        "h",
		APIKey:      "k1",
		Received:    time.Now(),
		PieceCounts: []int{1},
	}, response)
	return o, response
}

// TestStagesThatRunAgainAreReleasedInTime guards against jobs whose connection to the owner breaks before their release.
func TestStagesThatRunAgainAreReleasedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stages := &countedStages{
			stageTime: 50 * time.Millisecond,
			maxJobs:   9,
		}
		serveResumable(t, sequence(resetAfter(2, 2500*time.Millisecond), scripted("not_sent")), stages, "20s")
		require.Zero(t, stages.endedEarly.Load())
	})
}

// TestFailedCallEndsNoStream guards against a response that looks complete since a second call failed.
func TestFailedCallEndsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := clientFunc(func(_ context.Context, call Call) (*Response, error) {
			return nil, &pipeline.CallError{
				Addr:      call.Addr,
				Execution: pipeline.MayHaveRun,
				Err:       fmt.Errorf("read: %w", io.EOF),
			}
		})
		o, response := serveResumable(t, sequence(scripted("events", "1", "2", "cut"), closed), &countedStages{
			maxJobs: 3,
		}, "20s")
		require.NotEqual(t, "answered", outcome.Name(o), "events %d", response.events)
	})
}

// TestStagesRunAgainOnlyForAttemptsWithinBudget guards against stage work for second attempts that can't be made.
func TestStagesRunAgainOnlyForAttemptsWithinBudget(t *testing.T) {
	const streams, budget = 30, 2
	synctest.Test(t, func(t *testing.T) {
		stages := &countedStages{
			stageTime: 50 * time.Millisecond,
			maxJobs:   streams,
		}
		f := New(Config{
			Client:    clientFunc(scripted("events", "1", "2", "hang")),
			Stages:    stages,
			Upstreams: threeUpstreams(0),
			Table: tableOf(t, map[string]string{
				"kind":      "resumable_stream",
				"attempts":  "2",
				"timeout":   "3s",
				"objective": "2s",
			}),
			RetryRatio: 0.001,
			RetryBurst: budget,
		})
		var all sync.WaitGroup
		for i := range streams {
			all.Go(func() {
				f.Serve(t.Context(), Request{
					ID:          fmt.Sprintf("r%d", i),
					Path:        "/a/x",
					Host:        "h",
					APIKey:      "k1",
					Received:    time.Now(),
					PieceCounts: []int{1},
				}, &recordedResponse{})
			})
		}
		all.Wait()
		require.LessOrEqual(t, int(stages.total.Load()), streams+budget)
	})
}

// TestStagesThatRunAgainSurviveTheSilentUpstream guards against accepted stage work that is given up, and rejected anew.
func TestStagesThatRunAgainSurviveTheSilentUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, response := serveResumable(t, sequence(resetAfter(2, 2500*time.Millisecond), scripted("events", "3", "4", "whole")), &countedStages{
			stageTime: time.Second,
			maxJobs:   2,
		}, "20s")
		require.Equal(t, "answered", outcome.Name(o), "%+v, events %d", o, response.events)
	})
}

// TestUnsentSecondAttemptUsesUpNoAttempt guards against responses that are cut though one upstream alone has run them.
func TestUnsentSecondAttemptUsesUpNoAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		goesOnThenReset := clientFunc(func(ctx context.Context, _ Call) (*Response, error) {
			return &Response{
				Status:   http.StatusOK,
				Verified: true,
				Body: io.NopCloser(io.MultiReader(
					eventsOf(ctx, []string{"1", "2", "whole"}),
					&silentReader{
						ctx:    ctx,
						silent: 2200 * time.Millisecond,
					},
					eventsOf(ctx, []string{"3", "4", "cut"}))),
			}, nil
		})
		dials := clientFunc(func(ctx context.Context, call Call) (*Response, error) {
			<-ctx.Done()
			return nil, &pipeline.CallError{
				Addr:      call.Addr,
				Execution: pipeline.NotSent,
				Err:       errors.New("dial: operation was canceled"),
			}
		})
		o, response := serveResumable(t, sequence(goesOnThenReset, dials, scripted("events", "5", "6", "whole")), &countedStages{
			maxJobs: 9,
		}, "20s")
		require.Equal(t, "answered", outcome.Name(o), "%+v, events %d", o, response.events)
	})
}

// TestEmptySecondStreamIsNotTheEnd guards against a response that looks complete while its upstream is only silent.
func TestEmptySecondStreamIsNotTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		goesOn := clientFunc(func(ctx context.Context, _ Call) (*Response, error) {
			return &Response{
				Status:   http.StatusOK,
				Verified: true,
				Body: io.NopCloser(io.MultiReader(
					eventsOf(ctx, []string{"1", "2", "whole"}),
					&silentReader{
						ctx:    ctx,
						silent: 2500 * time.Millisecond,
					},
					eventsOf(ctx, []string{"3", "4", "whole"}))),
			}, nil
		})
		empty := clientFunc(func(context.Context, Call) (*Response, error) {
			return &Response{
				Status:   http.StatusOK,
				Verified: true,
				Body:     http.NoBody,
			}, nil
		})
		_, response := serveResumable(t, sequence(goesOn, empty), &countedStages{
			maxJobs: 9,
		}, "20s")
		require.Equal(t, 4, response.events)
	})
}

type silentReader struct {
	ctx    context.Context
	silent time.Duration
}

// Read implements io.Reader.
func (r *silentReader) Read([]byte) (int, error) {
	if err := sleepFor(r.ctx, r.silent); err != nil {
		return 0, err
	}
	return 0, io.EOF
}
