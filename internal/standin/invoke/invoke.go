// Package invoke simulates encoders, retrievers, rerankers and plain services
// for tests.
package invoke

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sequoiafork/internal/standin/control"
	"sequoiafork/internal/standin/loadreport"
	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/standin/unserved"
	"sequoiafork/internal/wire/standinapi"
	"sequoiafork/internal/wire/upstreamapi"
)

// Defaults of a Config.
const (
	DefaultCapacity    = 16
	DefaultServiceTime = 5 * time.Millisecond
	DefaultMaxQueue    = 256
)

const (
	fullLoadSlowdown = 0.5 // Relative slowdown of a fully loaded upstream compared with an idle one.
	maxJitter        = 0.1 // Maximum relative deviation of a service time.
)

// Config holds the settings of an Upstream.
type Config struct {
	// Control supplies the injected faults and the ledger; it is required.
	Control *control.Control
	// Kind is the kind of the simulated upstream, such as encoder.
	Kind string
	// Capacity is the maximum number of calls that run at once,
	// DefaultCapacity when zero.
	Capacity int
	// MaxQueue is the maximum number of queued calls, DefaultMaxQueue when
	// zero.
	MaxQueue int
	// ServiceTime is the duration of a call on an idle upstream,
	// DefaultServiceTime when zero.
	ServiceTime time.Duration
	// Seed seeds the random deviation of the service times.
	Seed uint64
}

// Upstream serves simulated calls. It is safe for concurrent use.
type Upstream struct {
	unserved.Upstream

	control     *control.Control
	kind        string
	serviceTime time.Duration
	slots       *slots
	swapper     swapper
	report      loadreport.Sampler

	mu   sync.Mutex
	rand *rand.Rand
}

var _ upstreamapi.Handler = (*Upstream)(nil)

// New returns an idle Upstream.
func New(c Config) *Upstream {
	c.Capacity = cmp.Or(c.Capacity, DefaultCapacity)
	c.MaxQueue = cmp.Or(c.MaxQueue, DefaultMaxQueue)
	c.ServiceTime = cmp.Or(c.ServiceTime, DefaultServiceTime)
	return &Upstream{
		control:     c.Control,
		kind:        c.Kind,
		serviceTime: c.ServiceTime,
		slots:       newSlots(c.Capacity, c.MaxQueue),
		rand:        rand.New(rand.NewPCG(c.Seed, 0)),
	}
}

// Invoke runs one call. Once started, a non-idempotent call runs to completion
// even if its caller disconnects.
func (u *Upstream) Invoke(ctx context.Context, req *upstreamapi.Invocation) (*upstreamapi.InvocationResult, error) {
	if u.control.Faults.Current().Leaving.Or(false) {
		return nil, unserved.UpstreamError(http.StatusServiceUnavailable, "leaving", "this upstream is leaving")
	}
	ok, err := u.slots.acquire(ctx)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, unserved.UpstreamError(http.StatusServiceUnavailable, "overloaded", "the queue is full")
	}
	defer u.slots.release()
	output, err := u.execute(ctx, req)
	if err != nil {
		return nil, err
	}
	return u.newResult(req, output), nil
}

func (u *Upstream) execute(ctx context.Context, req *upstreamapi.Invocation) (string, error) {
	execution := u.control.Ledger.Begin(standinapi.Entry{
		RequestID:  req.RequestID,
		AttemptID:  req.AttemptID,
		Workspace:  standinapi.OptString(req.Workspace),
		Stage:      req.Stage,
		Input:      req.Input,
		Repeatable: standinapi.NewOptBool(req.Repeatable.Or(false)),
	})
	var cancelled <-chan struct{}
	if req.Repeatable.Or(false) {
		cancelled = ctx.Done()
	}
	select {
	case <-time.After(u.nextServiceTime()):
	case <-cancelled:
		execution.Abandon()
		return "", ctx.Err()
	}
	output := oracle.Output(u.kind, req.Stage, req.Input)
	execution.Complete(output)
	return output, nil
}

// nextServiceTime returns the simulated duration of a call, which grows with the
// number of calls in flight.
func (u *Upstream) nextServiceTime() time.Duration {
	inFlight, _ := u.slots.count()
	u.mu.Lock()
	noise := 1 + maxJitter*(2*u.rand.Float64()-1)
	u.mu.Unlock()
	utilization := float64(inFlight-1) / float64(cap(u.slots.semaphore))
	return u.control.Faults.Slow(time.Duration(float64(u.serviceTime) * noise * (1 + fullLoadSlowdown*utilization)))
}

func (u *Upstream) newResult(req *upstreamapi.Invocation, output string) *upstreamapi.InvocationResult {
	result := &upstreamapi.InvocationResult{
		AttemptID:   req.AttemptID,
		Output:      output,
		OutputBytes: len(output),
		Load:        u.currentLoad(),
	}
	if u.control.Faults.TakeWrongAttemptID() {
		result.AttemptID = "r-00000000-0000-7000-8000-000000000000.0.0"
	}
	if u.control.Faults.TakeShortOutput() {
		result.Output = output[:len(output)-1]
	}
	if u.control.Faults.Current().SwapAnswers.Or(false) {
		return u.swapper.swap(result)
	}
	return result
}

// ShowLoad returns the last load sample.
func (u *Upstream) ShowLoad(context.Context) (*upstreamapi.Load, error) {
	load := u.currentLoad()
	if u.control.Faults.Current().LeavingInLoad.Or(false) {
		load.Leaving = upstreamapi.NewOptBool(true)
	}
	return &load, nil
}

func (u *Upstream) currentLoad() upstreamapi.Load {
	load := u.report.Load(u.control.Faults.Lag(), func() upstreamapi.Load {
		inFlight, queued := u.slots.count()
		return upstreamapi.Load{
			InFlight: inFlight,
			Queued:   queued,
			Capacity: cap(u.slots.semaphore),
		}
	})
	if u.control.Faults.Current().Leaving.Or(false) {
		load.Leaving = upstreamapi.NewOptBool(true)
	}
	return load
}
