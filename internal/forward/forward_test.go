package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/ratelimit"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// TestScripts runs the scripts in testdata/scripts. "serve" sends one request on a route with the
// given kind, attempts, timeout and objective. Each input line sets how the upstream
// behaves in one call. The output is the outcome, the calls and the caller's response.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var result string
			synctest.Test(t, func(t *testing.T) {
				result = serveScript(t, d)
			})
			return result
		})
	})
}

func serveScript(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	opts := map[string]string{
		"kind":            "idempotent",
		"attempts":        "2",
		"timeout":         "800ms",
		"objective":       "300ms",
		"leaves":          "0s",
		"stages":          "0",
		"key":             "k1",
		"path":            "/a/x",
		"tables":          "yes",
		"limits":          "0",
		"upstreams_leave": "0s",
		"pause":           "0s",
		"stops":           "0s",
		"held":            "",
		"last_event":      "",
		"input":           "",
	}
	for _, arg := range d.CmdArgs {
		opts[arg.Key] = arg.Vals[0]
	}
	script := &scriptedCaller{
		pause: durationOf(t, opts["pause"]),
		lines: strings.Split(strings.TrimSpace(d.Input), "\n"),
	}
	if strings.TrimSpace(d.Input) == "" {
		script.lines = nil
	}
	stages := &scriptedStages{}
	set := threeUpstreams(numberOf(t, opts["limits"]))
	if d := durationOf(t, opts["upstreams_leave"]); d > 0 {
		time.AfterFunc(d, func() {
			for i := range 3 {
				set.OverrideState(fmt.Sprintf("10.0.0.%d:80", i+1), upstream.Leaving, "test")
			}
		})
	}
	held := newFakeQuarantine(t, opts["held"])
	f := New(Config{
		Client:     script,
		Stages:     stages,
		Upstreams:  set,
		Table:      tableOf(t, opts),
		RetryRatio: 0.2,
		RetryBurst: 10,
		// Without the option, the interface is nil.
		Quarantine: held.orNil(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if d := durationOf(t, opts["leaves"]); d > 0 {
		time.AfterFunc(d, cancel)
	}
	if d := durationOf(t, opts["stops"]); d > 0 {
		time.AfterFunc(d, f.EndRequests)
	}
	a := &recordedResponse{}
	began := time.Now()
	req := Request{
		ID:       "r1",
		Method:   http.MethodPost,
		Target:   opts["path"],
		Path:     opts["path"],
		Host:     "h",
		APIKey:   opts["key"],
		Received: began,
	}
	if opts["last_event"] != "" {
		req.LastEventID, req.HasLastEvent = int64(numberOf(t, opts["last_event"])), true
	}
	req.InputKey = opts["input"]
	if opts["stages"] != "0" {
		req.PieceCounts = []int{numberOf(t, opts["stages"])}
	}
	o := f.Serve(ctx, req, a)
	took := time.Since(began)
	cancel()
	synctest.Wait()
	out := fmt.Sprintf("%s %s after %v\ncalls: %s\ncaller got: %s\nstages: %d submitted, %d released\n",
		outcome.Name(o), outcome.CodeOf(o), took.Round(time.Millisecond), strings.Join(script.calls, "; "), a, stages.submitted, stages.released)
	if opts["limits"] != "0" {
		_, retryAfter := outcomeDetail(o)
		out += fmt.Sprintf("told to come back: %v\n", retryAfter > 0)
	}
	if held != nil {
		_, retryAfter := outcomeDetail(o)
		out += fmt.Sprintf("broke: %d, succeeded: %d, retry after %v, keys: %d\n", held.broke, held.succeeded, retryAfter, held.admittedKeys)
	}
	return out
}

func tableOf(t testing.TB, opts map[string]string) func() *routing.Table {
	if opts["tables"] == "no" {
		return func() *routing.Table { return nil }
	}
	kinds := map[string]routing.Kind{
		"idempotent":       routing.Idempotent,
		"not_repeatable":   routing.NonIdempotent,
		"stream":           routing.Stream,
		"resumable_stream": routing.ResumableStream,
	}
	route := routing.Route{
		Name:             "route",
		Host:             "h",
		PathPrefix:       "/a/",
		Kind:             kinds[opts["kind"]],
		Timeout:          durationOf(t, opts["timeout"]),
		LatencyObjective: durationOf(t, opts["objective"]),
		MaxAttempts:      numberOf(t, opts["attempts"]),
		Targets: []routing.Target{
			{
				Service: "s",
				Weight:  1,
			},
		},
		Stages: []routing.Stage{
			{
				Service: "w",
			},
		},
	}
	table := routing.New(routing.Config{
		Version: 1,
		Routes:  []routing.Route{route},
		Services: []routing.Service{
			{
				Name: "s",
			},
		},
		Workspaces: []routing.Workspace{
			{
				Name: "ws",
				Keys: []string{"k1"},
			},
		},
	})
	return func() *routing.Table { return table }
}

// threeUpstreams returns a set of three upstreams. If perSecond is not zero, each takes so many
// requests a second, and the first one after that time.
func threeUpstreams(perSecond int) *upstream.Set {
	set := upstream.New(upstream.Config{
		Seed: 1,
	})
	var hosts []upstream.Host
	for i := range 3 {
		hosts = append(hosts, upstream.Host{
			Addr:        fmt.Sprintf("10.0.0.%d:80", i+1),
			Incarnation: fmt.Sprintf("i-%d", i+1),
			Service:     "s",
		})
	}
	set.Replace(hosts)
	for _, h := range hosts {
		set.ObserveLimit(h.Service, h.Incarnation, ratelimit.Limit{
			Limited:   perSecond > 0,
			PerSecond: float64(perSecond),
			At:        time.Now(),
		})
	}
	for range hosts {
		if perSecond > 0 {
			useTurn(set)
		}
	}
	return set
}

// useTurn uses the turn that an upstream offers at once.
func useTurn(set *upstream.Set) {
	choice, err := set.Pick(upstream.Request{
		Pool: &table.Pool{
			Service: "s",
		},
	})
	if err == nil {
		choice.Done(upstream.Result{
			Outcome: upstream.Cancelled,
		})
	}
}

func durationOf(t testing.TB, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("ParseDuration(%q): %v", text, err)
	}
	return d
}

func numberOf(t testing.TB, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("Atoi(%q): %v", text, err)
	}
	return n
}

// scriptedCaller responds to each call as its script line says.
type scriptedCaller struct {
	// pause is what upstreams ask for in a response with status 503.
	pause time.Duration
	mu    sync.Mutex
	lines []string
	calls []string
	seen  map[string]bool
}

func (c *scriptedCaller) Call(ctx context.Context, call Call) (*Response, error) {
	c.mu.Lock()
	line := "hang"
	if len(c.calls) < len(c.lines) {
		line = c.lines[len(c.calls)]
	}
	if c.seen == nil {
		c.seen = make(map[string]bool)
	}
	where := "another"
	if c.seen[call.Addr] {
		where = "the same"
	}
	c.seen[call.Addr] = true
	note := line
	if call.Resume {
		note += fmt.Sprintf(" (after event %d)", call.ResumeAfter)
	}
	if len(c.calls) > 0 {
		note = "to " + where + ": " + note
	}
	if call.Workspace != "ws" {
		note += " for workspace " + call.Workspace
	}
	if len(call.Inputs) > 0 {
		note += fmt.Sprintf(" with %d inputs", len(call.Inputs))
	}
	c.calls = append(c.calls, note)
	c.mu.Unlock()
	resp, err := scriptedResponse(ctx, call, strings.Fields(line))
	if err == nil && resp.Status == http.StatusServiceUnavailable {
		resp.Notice.Pause = c.pause
	}
	return resp, err
}

func scriptedResponse(ctx context.Context, call Call, words []string) (*Response, error) {
	fail := func(execution pipeline.ExecutionStatus, err error) (*Response, error) {
		return nil, &pipeline.CallError{
			Addr:      call.Addr,
			Execution: execution,
			TimedOut:  errors.Is(err, context.DeadlineExceeded),
			Err:       err,
		}
	}
	resp := &Response{
		Status:   http.StatusOK,
		Verified: true,
		Body:     io.NopCloser(strings.NewReader("body")),
	}
	switch words[0] {
	case "hang":
		<-ctx.Done()
		return fail(pipeline.MayHaveRun, ctx.Err())
	case "slow":
		d, _ := time.ParseDuration(words[1])
		time.Sleep(d)
	case "not_sent":
		return fail(pipeline.NotSent, errors.New("connection refused"))
	case "reset":
		return fail(pipeline.MayHaveRun, io.ErrUnexpectedEOF)
	case "refuse":
		resp.Status = http.StatusServiceUnavailable
		resp.NotRun = true
	case "fail":
		resp.Status = http.StatusInternalServerError
	case "fail_as_refusal":
		resp.Status = http.StatusServiceUnavailable
	case "forged":
		resp.Verified = false
	case "cut":
		resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("bo"), failingReader{
			err: io.ErrUnexpectedEOF,
		}))
	case "events":
		resp.Body = eventsOf(ctx, words[1:])
	case "endless":
		return endlessResponse(ctx, call, words[1:])
	}
	return resp, nil
}

// eventsOf returns a stream of the events from one ID to another. The third word is how it
// ends: whole (complete), cut (aborted between events), torn (aborted within an event), hang,
// after a comment (commented), or without an end with the parts of an event, blank lines or comments of trickles. The fourth,
// if any, is the time before each event.
func eventsOf(ctx context.Context, words []string) io.ReadCloser {
	from, _ := strconv.Atoi(words[0])
	to, _ := strconv.Atoi(words[1])
	var text strings.Builder
	if words[2] == "commented" {
		text.WriteString(": begin\n\n")
	}
	for i := from; i <= to; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: t%d\n\n", i, i)
	}
	var end io.Reader = failingReader{
		err: io.ErrUnexpectedEOF,
	}
	switch words[2] {
	case "whole", "commented":
		end = strings.NewReader("")
	case "torn":
		fmt.Fprintf(&text, "id: %d\nda", to+1)
	case "hang":
		end = hangingReader{
			ctx: ctx,
		}
	case "parts", "blanks", "comments":
		end = trickleReader{
			ctx:  ctx,
			text: trickles[words[2]],
		}
	}
	var events io.Reader = strings.NewReader(text.String())
	if len(words) > 3 {
		pace, _ := time.ParseDuration(words[3])
		events = &pacedReader{
			ctx:    ctx,
			events: strings.SplitAfter(text.String(), "\n\n"),
			pace:   pace,
		}
	}
	return io.NopCloser(io.MultiReader(events, end))
}

// trickles are what a stalled upstream may send now and then.
var trickles = map[string]string{
	"parts":    "a",
	"blanks":   "\n",
	"comments": ": c\n\n",
}

// trickleReader returns the same text every 450 ms until ctx ends.
type trickleReader struct {
	ctx  context.Context
	text string
}

func (r trickleReader) Read(buf []byte) (int, error) {
	if err := sleepFor(r.ctx, 450*time.Millisecond); err != nil {
		return 0, err
	}
	return copy(buf, r.text), nil
}

// pacedReader returns one event after another, each after a time.
type pacedReader struct {
	ctx    context.Context
	events []string
	pace   time.Duration
}

func (r *pacedReader) Read(buf []byte) (int, error) {
	if len(r.events) == 0 {
		return 0, io.EOF
	}
	if err := sleepFor(r.ctx, r.pace); err != nil {
		return 0, err
	}
	n := copy(buf, r.events[0])
	r.events = r.events[1:]
	return n, nil
}

type failingReader struct {
	err error
}

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

type hangingReader struct {
	ctx context.Context
}

func (r hangingReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

// scriptedStages returns one result for each piece after 100 ms.
type scriptedStages struct {
	submitted int
	released  int
}

func (s *scriptedStages) Submit(_ context.Context, j stagework.Job) (SubmittedJob, error) {
	s.submitted++
	return &scriptedJob{
		stages: s,
		pieces: j.Stages[0].Pieces,
	}, nil
}

type scriptedJob struct {
	stages *scriptedStages
	pieces int
}

func (t *scriptedJob) Wait(ctx context.Context) ([]string, error) {
	const stageTime = 100 * time.Millisecond
	select {
	case <-time.After(stageTime):
		return make([]string, t.pieces), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *scriptedJob) Release() { t.stages.released++ }

// recordedResponse records the response to the caller.
type recordedResponse struct {
	status          int
	body            bytes.Buffer
	events          int
	responseStarted bool
}

func (a *recordedResponse) WriteResponse(status int, _ http.Header, body []byte) {
	a.status = status
	a.body.Write(body)
}

func (a *recordedResponse) BeginStream(status int, _ http.Header) {
	a.status = status
	a.responseStarted = true
}

func (a *recordedResponse) WriteEvent(raw []byte) error {
	a.events++
	a.body.Write(raw)
	return nil
}

func (a *recordedResponse) String() string {
	switch {
	case a.responseStarted:
		ids := strings.ReplaceAll(strings.Join(strings.Fields(a.body.String()), " "), "id: ", "")
		return fmt.Sprintf("%d, events %s", a.status, ids)
	case a.status == 0:
		return "nothing"
	}
	return fmt.Sprintf("%d %s", a.status, a.body.String())
}
