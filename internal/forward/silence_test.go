package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/stagework"
)

// TestSilentUpstreamKeepsItsStreams guards against responses that are cut because their upstream pauses.
func TestSilentUpstreamKeepsItsStreams(t *testing.T) {
	datadriven.RunTest(t, "testdata/silence/streams", func(t *testing.T, d *datadriven.TestData) string {
		p := silenceFrom(t, d)
		synctest.Test(t, func(t *testing.T) { p.play(t) })
		return p.String()
	})
}

const (
	// firstEventDelay and eventInterval are the times that a stand-in upstream takes for the first event of
	// a stream and for each further one.
	firstEventDelay = 100 * time.Millisecond
	eventInterval   = 50 * time.Millisecond
	// arrivalInterval is the time between two requests.
	arrivalInterval = 10 * time.Millisecond
)

// silence is a load of streams during which some upstreams send nothing for a time.
type silence struct {
	streams int
	events  int
	// upstreams are silent from silentFrom on, for silentFor.
	upstreams  int
	silentFrom time.Duration
	silentFor  time.Duration
	// budget is the number of retries beyond RetryRatio. rejectReruns makes the stages of a request
	// run only once.
	budget       int
	rejectReruns bool

	began time.Time

	mu       sync.Mutex
	calls    int
	outcomes map[string]int
	cut      int
	notWhole int
}

func silenceFrom(t *testing.T, d *datadriven.TestData) *silence {
	p := &silence{
		outcomes:     make(map[string]int),
		rejectReruns: d.HasArg("reruns_rejected"),
	}
	var from, length string
	d.ScanArgs(t, "streams", &p.streams)
	d.ScanArgs(t, "events", &p.events)
	d.ScanArgs(t, "upstreams", &p.upstreams)
	d.ScanArgs(t, "from", &from)
	d.ScanArgs(t, "for", &length)
	d.ScanArgs(t, "budget", &p.budget)
	p.silentFrom = durationOf(t, from)
	p.silentFor = durationOf(t, length)
	return p
}

func (p *silence) play(t *testing.T) {
	p.began = time.Now()
	f := New(Config{
		Client: p,
		Stages: rerunScheduler{
			rejectReruns: p.rejectReruns,
			submitted:    &sync.Map{},
		},
		Upstreams: threeUpstreams(0),
		Table: tableOf(t, map[string]string{
			"kind":      "resumable_stream",
			"attempts":  "2",
			"timeout":   "20s",
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
}

// serve sends one request and records what its caller got.
func (p *silence) serve(ctx context.Context, f *Forwarder, id string) {
	response := &recordedResponse{}
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
	p.mu.Lock()
	defer p.mu.Unlock()
	_, answered := o.(outcome.Answered)
	switch {
	case answered && response.events != p.events:
		p.notWhole++
	case !answered && response.responseStarted:
		p.cut++
	default:
		p.outcomes[outcome.Name(o)]++
	}
}

func (p *silence) String() string {
	return fmt.Sprintf("answered: %d, cut: %d, failed: %d, not run: %d, not whole: %d\nattempts beyond the first: %d\n",
		p.outcomes["answered"], p.cut, p.outcomes["failed"], p.outcomes["not_run"], p.notWhole, p.calls-p.streams)
}

// Call implements UpstreamClient.
func (p *silence) Call(ctx context.Context, call Call) (*Response, error) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	body := &pacedBody{
		ctx:    ctx,
		load:   p,
		silent: p.silent(call.Addr),
	}
	if call.Resume {
		body.sent = int(call.ResumeAfter)
	}
	if err := body.wait(firstEventDelay); err != nil {
		return nil, &pipeline.CallError{
			Addr:      call.Addr,
			Execution: pipeline.MayHaveRun,
			Err:       err,
		}
	}
	body.ready = true
	return &Response{
		Status:   http.StatusOK,
		Verified: true,
		Body:     body,
	}, nil
}

// silent reports whether the upstream at an address is one of those that fall silent.
func (p *silence) silent(addr string) bool {
	for i := range p.upstreams {
		if addr == fmt.Sprintf("10.0.0.%d:80", i+1) {
			return true
		}
	}
	return false
}

// pacedBody is a stream of events, one each eventInterval except while its upstream is silent.
type pacedBody struct {
	ctx    context.Context
	load   *silence
	silent bool
	sent   int
	ready  bool
}

// wait waits for a time, and until the upstream is no longer silent.
func (b *pacedBody) wait(d time.Duration) error {
	if err := sleepFor(b.ctx, d); err != nil {
		return err
	}
	since := time.Since(b.load.began) - b.load.silentFrom
	if b.silent && since >= 0 && since < b.load.silentFor {
		return sleepFor(b.ctx, b.load.silentFor-since)
	}
	return nil
}

func sleepFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Read returns the next event.
func (b *pacedBody) Read(buf []byte) (int, error) {
	if b.sent >= b.load.events {
		return 0, io.EOF
	}
	if !b.ready {
		if err := b.wait(eventInterval); err != nil {
			return 0, err
		}
	}
	b.ready = false
	b.sent++
	return copy(buf, fmt.Sprintf("id: %d\ndata: t%d\n\n", b.sent, b.sent)), nil
}

// Close implements io.Closer.
func (b *pacedBody) Close() error { return nil }

// rerunScheduler runs stages in 50 ms. It can reject those of a request that it has run already.
type rerunScheduler struct {
	rejectReruns bool
	submitted    *sync.Map
}

// Submit implements StageScheduler.
func (s rerunScheduler) Submit(_ context.Context, j stagework.Job) (SubmittedJob, error) {
	_, again := s.submitted.LoadOrStore(j.RequestID, true)
	if again && s.rejectReruns {
		return nil, &stagework.RejectedError{
			Message: "the stages can't be done before the deadline",
		}
	}
	return doneJob{}, nil
}

type doneJob struct{}

// Wait implements SubmittedJob.
func (doneJob) Wait(ctx context.Context) ([]string, error) {
	const stageTime = 50 * time.Millisecond
	return []string{"result"}, sleepFor(ctx, stageTime)
}

// Release implements SubmittedJob.
func (doneJob) Release() {}
