package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// TestStreamsThroughSilence guards against events that are lost, doubled or out of order, attempts that are
// given up while they could go on, and upstreams or results that are not released.
func TestStreamsThroughSilence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawStreamLoad(rt)
		synctest.Test(t, func(t *testing.T) { p.play(t) })
		if len(p.faults) > 0 {
			rt.Fatalf("%s\n%s", strings.Join(p.faults, "\n"), p)
		}
	})
}

const (
	// maxOverlap is how long two upstreams may work on a request after the second one's first event.
	maxOverlap = 400 * time.Millisecond
	// settleTime is how long the calls of a request may take to notice that it has ended.
	settleTime = time.Millisecond
)

// attemptPlan is how an upstream treats one call.
type attemptPlan struct {
	// kind is serve, reset, refuse or not_sent.
	kind string
	// headDelay is the time to the head, firstDelay the time from there to the first event.
	headDelay  time.Duration
	firstDelay time.Duration
	// resetAfter is the number of events before a reset.
	resetAfter int
}

// pause is a time during which an upstream sends nothing.
type pause struct {
	from time.Duration
	to   time.Duration
}

// streamLoad is a number of streams at upstreams that pause, refuse and reset.
type streamLoad struct {
	streams  int
	events   int
	attempts int
	budget   int
	reruns   bool
	// timeout is the time limit of a request, writeTime the time for which a caller lets each event wait, and
	// leaveAfter when callers go away; zero means never.
	timeout    time.Duration
	writeTime  time.Duration
	leaveAfter time.Duration
	pauses     map[string][]pause
	plans      map[string][]attemptPlan

	began time.Time
	set   *upstream.Set
	jobs  atomic.Int64

	mu     sync.Mutex
	calls  []*modelCall
	faults []string
}

// modelCall is one call of the model.
type modelCall struct {
	request string
	addr    string
	plan    attemptPlan
	began   time.Duration
	first   time.Duration
	// ended is when the call ended, byItself that the upstream ended it, and replaced that an event of another
	// call did.
	ended    time.Duration
	byItself bool
	replaced bool
}

func drawStreamLoad(rt *rapid.T) *streamLoad {
	p := &streamLoad{
		streams:   rapid.IntRange(1, 4).Draw(rt, "streams"),
		events:    rapid.IntRange(1, 30).Draw(rt, "events"),
		attempts:  rapid.IntRange(1, 3).Draw(rt, "attempts"),
		budget:    rapid.IntRange(1, 6).Draw(rt, "budget"),
		reruns:    rapid.Bool().Draw(rt, "reruns"),
		timeout:   milliseconds(rt, "timeout", 1000, 20000),
		writeTime: milliseconds(rt, "write", 0, 100),
		pauses:    make(map[string][]pause),
		plans:     make(map[string][]attemptPlan),
	}
	if rapid.IntRange(0, 3).Draw(rt, "leaves") == 0 {
		p.leaveAfter = milliseconds(rt, "leave after", 1, 6000)
	}
	for i := range 3 {
		addr := fmt.Sprintf("10.0.0.%d:80", i+1)
		for range rapid.IntRange(0, 2).Draw(rt, "pauses of "+addr) {
			from := milliseconds(rt, "from", 0, 4000)
			p.pauses[addr] = append(p.pauses[addr], pause{
				from: from,
				to:   from + milliseconds(rt, "for", 500, 5000),
			})
		}
		for range p.streams {
			p.plans[addr] = append(p.plans[addr], drawAttemptPlan(rt))
		}
	}
	return p
}

func drawAttemptPlan(rt *rapid.T) attemptPlan {
	return attemptPlan{
		kind:       rapid.SampledFrom([]string{"serve", "serve", "serve", "reset", "refuse", "not_sent"}).Draw(rt, "kind"),
		headDelay:  milliseconds(rt, "head", 1, 600),
		firstDelay: milliseconds(rt, "first", 1, 600),
		resetAfter: rapid.IntRange(0, 10).Draw(rt, "reset after"),
	}
}

func milliseconds(rt *rapid.T, label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(rt, label)) * time.Millisecond
}

func (p *streamLoad) now() time.Duration { return time.Since(p.began) }

func (p *streamLoad) fault(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

func (p *streamLoad) play(t *testing.T) {
	p.began = time.Now()
	p.set = threeUpstreams(0)
	f := New(Config{
		Client:    p,
		Stages:    p,
		Upstreams: p.set,
		Table: tableOf(t, map[string]string{
			"kind":      "resumable_stream",
			"attempts":  fmt.Sprint(p.attempts),
			"timeout":   p.timeout.String(),
			"objective": "2s",
		}),
		RetryRatio: 0.001,
		RetryBurst: float64(p.budget),
	})
	var streams sync.WaitGroup
	for i := range p.streams {
		streams.Go(func() { p.serve(t.Context(), f, fmt.Sprintf("r%d", i)) })
		time.Sleep(arrivalInterval)
	}
	streams.Wait()
	synctest.Wait()
	p.checkReleased()
	p.checkBudget()
}

// serve sends one request and checks what its caller got.
func (p *streamLoad) serve(ctx context.Context, f *Forwarder, id string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if p.leaveAfter > 0 {
		time.AfterFunc(p.leaveAfter, cancel)
	}
	response := &slowCaller{
		writeTime: p.writeTime,
	}
	began := p.now()
	o := f.Serve(ctx, Request{
		ID:          id,
		Method:      http.MethodPost,
		Target:      "/a/x",
		Path:        "/a/x",
		Host:        "h",
		APIKey:      "k1",
		Received:    time.Now(),
		PieceCounts: []int{1},
	}, response)
	ended := p.now()
	time.Sleep(settleTime)
	p.checkEvents(id, o, &response.recordedResponse)
	p.checkCalls(id, o, ended, ctx.Err() != nil || ended-began >= p.timeout)
}

// slowCaller takes a time for each event.
type slowCaller struct {
	recordedResponse
	writeTime time.Duration
}

// WriteEvent implements ResponseWriter.
func (c *slowCaller) WriteEvent(raw []byte) error {
	time.Sleep(c.writeTime)
	return c.recordedResponse.WriteEvent(raw)
}

// checkEvents checks that the caller got each event once and in order, and all if it was told so.
func (p *streamLoad) checkEvents(id string, o outcome.Outcome, response *recordedResponse) {
	var want strings.Builder
	for i := range response.events {
		fmt.Fprintf(&want, "id: %d\ndata: t%d\n\n", i+1, i+1)
	}
	if response.body.String() != want.String() {
		p.fault("%s: the caller got %q", id, response.body.String())
	}
	if _, answered := o.(outcome.Answered); answered && response.events != p.events {
		p.fault("%s: answered after %d of %d events", id, response.events, p.events)
	}
}

// checkCalls checks the calls of a request that has ended.
func (p *streamLoad) checkCalls(id string, o outcome.Outcome, ended time.Duration, late bool) {
	p.mu.Lock()
	calls := slices.DeleteFunc(slices.Clone(p.calls), func(c *modelCall) bool { return c.request != id })
	p.mu.Unlock()
	_, answered := o.(outcome.Answered)
	_, notRun := o.(outcome.NotRun)
	ran := 0
	for i, c := range calls {
		switch {
		case c.ended < 0:
			p.fault("%s: the call to %s goes on after the request", id, c.addr)
		case !answered && !late && !c.byItself && !c.replaced && c.ended == ended:
			p.fault("%s: %s, though the call to %s could go on", id, outcome.Name(o), c.addr)
		}
		if c.plan.kind == "serve" || c.plan.kind == "reset" {
			ran++
		}
		for _, other := range calls[:i] {
			if c.first >= 0 && other.ended > c.first+maxOverlap {
				p.fault("%s: %s worked until %v, %s since %v", id, other.addr, other.ended, c.addr, c.first)
			}
		}
	}
	if notRun && ran > 0 {
		p.fault("%s: not run, though %d upstreams may have run it", id, ran)
	}
	if ran > p.attempts {
		p.fault("%s: %d attempts, %d allowed", id, ran, p.attempts)
	}
}

// checkReleased checks that no upstream counts an attempt as in flight, and that no stage result is held.
func (p *streamLoad) checkReleased() {
	for range 3 {
		choice, err := p.set.Pick(upstream.Request{
			Pool: &table.Pool{
				Service: "s",
			},
		})
		if err != nil {
			break
		}
		if choice.InFlight != 1 {
			p.fault("%s has %d attempts in flight after the last request", choice.Addr, choice.InFlight-1)
		}
		choice.Done(upstream.Result{
			Outcome: upstream.Cancelled,
		})
	}
	if n := p.jobs.Load(); n != 0 {
		p.fault("%d jobs not released", n)
	}
}

// checkBudget checks that the attempts beyond the first of each request stay within the budget.
func (p *streamLoad) checkBudget() {
	arrivals := 0
	seen := make(map[string]bool)
	for _, c := range p.calls {
		if c.plan.kind == "not_sent" {
			continue
		}
		if seen[c.request] {
			arrivals++
		}
		seen[c.request] = true
	}
	if arrivals > p.budget {
		p.fault("%d attempts beyond the first, the budget is %d", arrivals, p.budget)
	}
}

func (p *streamLoad) String() string {
	var text strings.Builder
	for _, c := range p.calls {
		fmt.Fprintf(&text, "%s at %s: %s, %v to %v, first event %v, by itself %v, replaced %v\n",
			c.request, c.addr, c.plan.kind, c.began, c.ended, c.first, c.byItself, c.replaced)
	}
	return text.String()
}

// Call implements UpstreamClient.
func (p *streamLoad) Call(ctx context.Context, call Call) (*Response, error) {
	c := p.newCall(call)
	fail := func(execution pipeline.ExecutionStatus, err error) (*Response, error) {
		return nil, &pipeline.CallError{
			Addr:      call.Addr,
			Execution: execution,
			Err:       err,
		}
	}
	if c.plan.kind == "not_sent" {
		p.end(c, true)
		return fail(pipeline.NotSent, errors.New("connection refused"))
	}
	if err := p.wait(ctx, c.addr, c.plan.headDelay); err != nil {
		p.abort(ctx, c)
		return fail(pipeline.MayHaveRun, err)
	}
	if c.plan.kind == "refuse" {
		p.end(c, true)
		return &Response{
			Status: http.StatusServiceUnavailable,
			NotRun: true,
			Body:   http.NoBody,
		}, nil
	}
	return &Response{
		Status:   http.StatusOK,
		Verified: true,
		Body: &modelBody{
			ctx:  ctx,
			load: p,
			call: c,
			sent: int(call.ResumeAfter),
		},
	}, nil
}

func (p *streamLoad) newCall(call Call) *modelCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	plan := p.plans[call.Addr][0]
	if len(p.plans[call.Addr]) > 1 {
		p.plans[call.Addr] = p.plans[call.Addr][1:]
	}
	c := &modelCall{
		request: call.Request.ID,
		addr:    call.Addr,
		plan:    plan,
		began:   p.now(),
		first:   -1,
		ended:   -1,
	}
	p.calls = append(p.calls, c)
	return c
}

func (p *streamLoad) end(c *modelCall, byItself bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ended < 0 {
		c.ended = p.now()
		c.byItself = byItself
	}
}

// abort records that the daemon ended a call.
func (p *streamLoad) abort(ctx context.Context, c *modelCall) {
	var silent *silenceError
	cause := context.Cause(ctx)
	c.replaced = errors.As(cause, &silent) || errors.Is(cause, errHedgeNotNeeded)
	p.end(c, false)
}

// wait waits for a time, and until the upstream does not pause.
func (p *streamLoad) wait(ctx context.Context, addr string, d time.Duration) error {
	if err := sleepFor(ctx, d); err != nil {
		return err
	}
	for _, s := range p.pauses[addr] {
		if now := p.now(); now >= s.from && now < s.to {
			if err := sleepFor(ctx, s.to-now); err != nil {
				return err
			}
		}
	}
	return nil
}

// modelBody is the stream of a modelCall.
type modelBody struct {
	ctx   context.Context
	load  *streamLoad
	call  *modelCall
	sent  int
	count int
}

// Read returns the next event.
func (b *modelBody) Read(buf []byte) (int, error) {
	if b.sent >= b.load.events {
		b.load.end(b.call, true)
		return 0, io.EOF
	}
	if b.call.plan.kind == "reset" && b.count >= b.call.plan.resetAfter {
		b.load.end(b.call, true)
		return 0, io.ErrUnexpectedEOF
	}
	d := eventInterval
	if b.count == 0 {
		d = b.call.plan.firstDelay
	}
	if err := b.load.wait(b.ctx, b.call.addr, d); err != nil {
		b.load.abort(b.ctx, b.call)
		return 0, err
	}
	if b.count == 0 {
		b.call.first = b.load.now()
	}
	b.sent++
	b.count++
	return copy(buf, fmt.Sprintf("id: %d\ndata: t%d\n\n", b.sent, b.sent)), nil
}

// Close implements io.Closer.
func (b *modelBody) Close() error {
	b.load.abort(b.ctx, b.call)
	return nil
}

// Submit implements StageScheduler.
func (p *streamLoad) Submit(_ context.Context, j stagework.Job) (SubmittedJob, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	again := slices.ContainsFunc(p.calls, func(c *modelCall) bool { return c.request == j.RequestID })
	if again && !p.reruns {
		return nil, &stagework.RejectedError{
			Message: "the stages can't be done before the deadline",
		}
	}
	p.jobs.Add(1)
	return &modelJob{
		load: p,
	}, nil
}

// modelJob is a job that ends after 300 ms.
type modelJob struct {
	load     *streamLoad
	released atomic.Bool
}

// Wait implements SubmittedJob.
func (*modelJob) Wait(ctx context.Context) ([]string, error) {
	const stageTime = 300 * time.Millisecond
	return []string{"result"}, sleepFor(ctx, stageTime)
}

// Release implements SubmittedJob.
func (j *modelJob) Release() {
	if j.released.Swap(true) {
		j.load.fault("a job is released twice")
		return
	}
	j.load.jobs.Add(-1)
}
