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

// Cost is the work that the upstreams of one pool did.
type Cost struct {
	Executions int
	Busy       time.Duration
}

// fleet is the upstreams of a deployment.
type fleet struct {
	cfg     Config
	oneWay  time.Duration
	servers map[string]*server

	mu    sync.Mutex
	costs map[string]*Cost
	// executed counts executions by request and, for stages that may not be
	// repeated, by request and stage.
	executed map[string]int
	once     map[string]int
}

func newFleet(cfg Config) *fleet {
	f := &fleet{
		cfg:      cfg,
		oneWay:   time.Duration(cfg.Deployment.OneWayMs * float64(time.Millisecond)),
		servers:  make(map[string]*server),
		costs:    make(map[string]*Cost),
		executed: make(map[string]int),
		once:     make(map[string]int),
	}
	for _, p := range cfg.Deployment.Pools {
		f.costs[p.Name] = &Cost{}
		for i := range p.Upstreams {
			f.servers[address(p.Name, i)] = newServer(p, cfg)
		}
	}
	return f
}

// started counts the start of a call on an upstream.
func (f *fleet) started(c pipeline.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executed[c.RequestID]++
	if c.Stage.NonIdempotent {
		f.once[c.RequestID+"/"+c.Stage.Name]++
	}
	f.costs[c.Stage.Pool].Executions++
}

func (f *fleet) finished(c pipeline.Call, busy time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.costs[c.Stage.Pool].Busy += busy
}

// Invoke implements pipeline.Invoker.
func (f *fleet) Invoke(ctx context.Context, c pipeline.Call) (pipeline.Reply, error) {
	s := f.servers[c.Addr]
	if err := wait(ctx, f.oneWay); err != nil {
		return pipeline.Reply{}, broken(ctx, c)
	}
	defer time.Sleep(f.oneWay)
	switch s.condition() {
	case conditionDead:
		return pipeline.Reply{}, callError(c, pipeline.NotSent, "connection refused")
	case conditionLeaving:
		return pipeline.Reply{}, callError(c, pipeline.RefusedLeaving, "leaving")
	case conditionFailing:
		return pipeline.Reply{}, callError(c, pipeline.RanAndFailed, "internal error")
	}
	if err := s.enter(ctx, c.Priority); err != nil {
		return pipeline.Reply{}, broken(ctx, c)
	}
	f.started(c)
	return f.execute(ctx, s, c)
}

// execute holds a slot of s for the time of the call. An engine stops when the
// call is cancelled; other upstreams go on to the end.
func (f *fleet) execute(ctx context.Context, s *server, c pipeline.Call) (pipeline.Reply, error) {
	began := time.Now()
	took := s.duration(c)
	end := func() {
		f.finished(c, time.Since(began))
		s.leave()
	}
	if err := wait(ctx, took); err != nil {
		if c.Kind == table.KindEngine {
			end()
		} else {
			time.AfterFunc(took-time.Since(began), end)
		}
		return pipeline.Reply{}, broken(ctx, c)
	}
	if s.condition() == conditionDead {
		end()
		return pipeline.Reply{}, callError(c, pipeline.MayHaveRun, "connection reset")
	}
	end()
	return pipeline.Reply{
		Output: c.Input,
		Load:   s.load(),
	}, nil
}

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

func broken(ctx context.Context, c pipeline.Call) error {
	return &pipeline.CallError{
		Addr:      c.Addr,
		Execution: pipeline.MayHaveRun,
		TimedOut:  errors.Is(ctx.Err(), context.DeadlineExceeded),
		Err:       ctx.Err(),
	}
}

func callError(c pipeline.Call, reach pipeline.ExecutionStatus, message string) error {
	return &pipeline.CallError{
		Addr:      c.Addr,
		Execution: reach,
		Err:       fmt.Errorf("%s", message),
	}
}
