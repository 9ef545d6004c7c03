package forward

import (
	"context"

	"sequoiafork/internal/panics"
	"sequoiafork/internal/stagework"
)

// stageRerun is a run of a request's stages in its own goroutine.
type stageRerun struct {
	cancel context.CancelFunc
	result chan rerunResult
}

// rerunResult is the result of a stageRerun. job is nil if err is set.
type rerunResult struct {
	job    SubmittedJob
	inputs []string
	err    error
}

// startRerun runs the stages again.
func (x *execution) startRerun(ctx context.Context) *stageRerun {
	ctx, cancel := context.WithCancel(ctx)
	r := &stageRerun{
		cancel: cancel,
		result: make(chan rerunResult, 1),
	}
	job := x.stageJob(x.requestStages())
	go func() { r.result <- x.rerunJob(ctx, job) }()
	return r
}

// rerunJob runs a job in its own goroutine, where a panic would end the process.
func (x *execution) rerunJob(ctx context.Context, job stagework.Job) rerunResult {
	cfg := x.forwarder.cfg
	result, err := panics.Value(cfg.Logger, "rerun", func() (rerunResult, error) {
		return runJob(ctx, cfg.Stages, job), nil
	})
	if err != nil {
		result.err = err
	}
	return result
}

// results returns the channel with the result, nil without a rerun.
func (r *stageRerun) results() <-chan rerunResult {
	if r == nil {
		return nil
	}
	return r.result
}

// abandon ends the run and releases its results.
func (r *stageRerun) abandon() {
	r.cancel()
	go func() {
		if result := <-r.result; result.job != nil {
			result.job.Release()
		}
	}()
}

// runJob submits a job and waits for its results.
func runJob(ctx context.Context, stages StageScheduler, j stagework.Job) rerunResult {
	job, err := stages.Submit(ctx, j)
	if err != nil {
		return rerunResult{
			err: err,
		}
	}
	inputs, err := job.Wait(ctx)
	if err != nil {
		job.Release()
		return rerunResult{
			err: err,
		}
	}
	return rerunResult{
		job:    job,
		inputs: inputs,
	}
}
