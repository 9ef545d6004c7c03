package replay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/table"
)

// Cost is the number of executions and the busy time of the upstreams of one pool.
type Cost struct {
	Executions int
	Busy       time.Duration
}

// fleet simulates the upstreams of a deployment.
type fleet struct {
	cfg     Config
	oneWay  time.Duration
	servers map[string]*server

	mu    sync.Mutex
	costs map[string]*Cost
	// executions counts executions by request, and nonIdempotentRuns those of
	// non-idempotent stages by request and stage.
	executions        map[string]int
	nonIdempotentRuns map[string]int
}

func newFleet(cfg Config) *fleet {
	f := &fleet{
		cfg:               cfg,
		oneWay:            time.Duration(cfg.Deployment.OneWayMs * float64(time.Millisecond)),
		servers:           make(map[string]*server),
		costs:             make(map[string]*Cost),
		executions:        make(map[string]int),
		nonIdempotentRuns: make(map[string]int),
	}
	for _, p := range cfg.Deployment.Pools {
		f.costs[p.Name] = &Cost{}
		for i := range p.Upstreams {
			f.servers[upstreamAddr(p.Name, i)] = newServer(p, cfg)
		}
	}
	return f
}

// callStarted counts an execution on an upstream.
func (f *fleet) callStarted(c pipeline.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executions[c.RequestID]++
	if c.Stage.NonIdempotent {
		f.nonIdempotentRuns[c.RequestID+"/"+c.Stage.Name]++
	}
	f.costs[c.Stage.Pool].Executions++
}

func (f *fleet) callFinished(c pipeline.Call, busy time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.costs[c.Stage.Pool].Busy += busy
}

// Invoke implements pipeline.Invoker. It adds the network delay in each direction.
func (f *fleet) Invoke(ctx context.Context, c pipeline.Call) (pipeline.Reply, error) {
	s := f.servers[c.Addr]
	// Calls that daemons send or cancel at one instant reach the upstream, and their results
	// the daemon, in the order of their arrivals.
	offset := arrivalOf(c.RequestID).offset()
	if err := wait(ctx, f.oneWay+offset); err != nil {
		return pipeline.Reply{}, interruptedError(ctx, c)
	}
	defer time.Sleep(f.oneWay + offset)
	switch s.condition() {
	case conditionDead:
		return pipeline.Reply{}, callError(c, pipeline.NotSent, "connection refused")
	case conditionLeaving:
		return pipeline.Reply{}, callError(c, pipeline.RefusedLeaving, "leaving")
	case conditionFailing:
		return pipeline.Reply{}, callError(c, pipeline.RanAndFailed, "internal error")
	}
	if err := s.acquireSlot(ctx, c.Priority); err != nil {
		return pipeline.Reply{}, interruptedError(ctx, c)
	}
	f.callStarted(c)
	return f.execute(ctx, s, c)
}

// execute occupies a slot of s for the service time of the call. An engine stops
// when the call is cancelled; other upstreams run it to completion.
func (f *fleet) execute(ctx context.Context, s *server, c pipeline.Call) (pipeline.Reply, error) {
	start := time.Now()
	serviceTime := s.serviceTime(c)
	end := func() {
		f.callFinished(c, time.Since(start))
		s.releaseSlot()
	}
	if err := wait(ctx, serviceTime); err != nil {
		time.Sleep(arrivalOf(c.RequestID).offset())
		if c.Kind == table.KindEngine {
			end()
		} else {
			time.AfterFunc(serviceTime-time.Since(start), end)
		}
		return pipeline.Reply{}, interruptedError(ctx, c)
	}
	if s.condition() == conditionDead {
		end()
		return pipeline.Reply{}, callError(c, pipeline.MayHaveRun, "connection reset")
	}
	end()
	return pipeline.Reply{
		Output: c.Input,
		Load:   s.reportedLoad(),
	}, nil
}

// wait blocks until d has passed or ctx is done.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// interruptedError returns the error of a call whose context ended before its response.
func interruptedError(ctx context.Context, c pipeline.Call) error {
	return &pipeline.CallError{
		Addr:      c.Addr,
		Execution: pipeline.MayHaveRun,
		TimedOut:  errors.Is(ctx.Err(), context.DeadlineExceeded),
		Err:       ctx.Err(),
	}
}

func callError(c pipeline.Call, status pipeline.ExecutionStatus, message string) error {
	return &pipeline.CallError{
		Addr:      c.Addr,
		Execution: status,
		Err:       fmt.Errorf("%s", message),
	}
}
