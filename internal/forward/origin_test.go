package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/streamorigin"
	"sequoiafork/internal/upstream"
)

// TestOrigin guards against streams that go on at another service or version than the one that began them. "resume"
// takes up streams that began at an origin, "silent" begins streams at upstreams of which some fall silent.
func TestOrigin(t *testing.T) {
	datadriven.RunTest(t, "testdata/origin/streams", func(t *testing.T, d *datadriven.TestData) string {
		p := &originPlay{
			targets: words(d, "targets"),
			hosts:   words(d, "upstreams"),
			began:   strings.Join(words(d, "began"), ""),
			unnamed: d.HasArg("unnamed"),
		}
		synctest.Test(t, func(t *testing.T) { p.play(t, d.Cmd == "silent") })
		return p.String()
	})
}

// words returns the values of an argument.
func words(d *datadriven.TestData, name string) []string {
	for _, arg := range d.CmdArgs {
		if arg.Key == name {
			return arg.Vals
		}
	}
	return nil
}

// originPlay is a load of streams on a route to targets whose upstreams are named SERVICE/VERSION.
type originPlay struct {
	targets []string
	hosts   []string
	// began is the origin of the streams that are taken up, empty if nobody knows it.
	began string
	// unnamed callers don't say which request began their stream.
	unnamed bool

	mu       sync.Mutex
	stages   scriptedStages
	reached  map[string]int // origins of the upstreams that were called
	outcomes map[string]int
	mixed    int
}

// originStreams is the number of streams of a play, and pauseAfter the number of events after which an
// upstream falls silent for pauseLength.
const (
	originStreams = 40
	pauseAfter    = 2
	pauseLength   = 5 * time.Second
)

func (p *originPlay) play(t *testing.T, silent bool) {
	p.reached = make(map[string]int)
	p.outcomes = make(map[string]int)
	f := New(Config{
		Client:     p,
		Stages:     &p.stages,
		Upstreams:  p.upstreams(),
		Origins:    p,
		Table:      p.table,
		RetryRatio: 1,
		RetryBurst: originStreams,
	})
	for i := range originStreams {
		req := Request{
			ID:          fmt.Sprint("r", i),
			Path:        "/a/x",
			Host:        "h",
			Received:    time.Now(),
			PieceCounts: []int{1},
		}
		if !silent {
			if !p.unnamed {
				req.Resumes = fmt.Sprint("before", i)
			}
			req.LastEventID = pauseAfter
			req.HasLastEvent = true
		}
		response := &recordedResponse{}
		o := f.Serve(t.Context(), req, response)
		p.record(o, response)
	}
}

func (p *originPlay) record(o outcome.Outcome, response *recordedResponse) {
	what := outcome.Name(o)
	if refused, ok := o.(outcome.NotRun); ok {
		what = fmt.Sprintf("%s, come back after %v: %s", what, refused.RetryAfter, refused.Message)
	}
	p.outcomes[what]++
	seen := make(map[string]bool)
	for line := range strings.Lines(response.body.String()) {
		if origin, ok := strings.CutPrefix(line, "data: "); ok {
			seen[origin] = true
		}
	}
	if len(seen) > 1 {
		p.mixed++
	}
}

func (p *originPlay) upstreams() *upstream.Set {
	set := upstream.New(upstream.Config{
		Seed: 1,
	})
	var hosts []upstream.Host
	for i, name := range p.hosts {
		service, version, _ := strings.Cut(name, "/")
		hosts = append(hosts, upstream.Host{
			Addr:        fmt.Sprintf("10.0.0.%d:80", i+1),
			Incarnation: fmt.Sprintf("i-%d", i+1),
			Service:     service,
			Version:     version,
		})
	}
	set.Replace(hosts)
	return set
}

func (p *originPlay) table() *routing.Table {
	route := routing.Route{
		Name:              "route",
		Host:              "h",
		PathPrefix:        "/a/",
		Kind:              routing.ResumableStream,
		Timeout:           20 * time.Second,
		LatencyObjective:  2 * time.Second,
		EventGapObjective: 400 * time.Millisecond,
		MaxAttempts:       3,
		Stages: []routing.Stage{
			{
				Service: "w",
			},
		},
	}
	var services []routing.Service
	for _, name := range []string{"s1", "s2"} {
		services = append(services, routing.Service{
			Name: name,
		})
	}
	for _, name := range p.targets {
		route.Targets = append(route.Targets, routing.Target{
			Service: name,
			Weight:  1,
		})
	}
	return routing.New(routing.Config{
		Version:      1,
		KeysOptional: true,
		Routes:       []routing.Route{route},
		Services:     services,
	})
}

// Begin implements StreamOrigins.
func (p *originPlay) Begin(string, streamorigin.Origin) {}

// Find implements StreamOrigins.
func (p *originPlay) Find(_ context.Context, _, service string) (streamorigin.Origin, error) {
	name, version, ok := strings.Cut(p.began, "/")
	if !ok {
		return streamorigin.Origin{}, &streamorigin.UnknownError{
			Service:  service,
			Versions: []string{"v1", "v2"},
		}
	}
	return streamorigin.Origin{
		Service: name,
		Version: version,
	}, nil
}

// Call implements UpstreamClient. The first upstream of each stream that begins here falls silent, and each event
// names the origin that made it.
func (p *originPlay) Call(ctx context.Context, call Call) (*Response, error) {
	var index int
	_, _ = fmt.Sscanf(call.Addr, "10.0.0.%d:80", &index)
	origin := p.hosts[index-1]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached[origin]++
	const lastEvent = 6
	text := func(from, to int) io.Reader {
		var events strings.Builder
		for i := from; i <= to; i++ {
			fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", i, origin)
		}
		return strings.NewReader(events.String())
	}
	body := text(int(call.ResumeAfter)+1, lastEvent)
	if !call.Resume {
		body = io.MultiReader(text(1, pauseAfter), &pausedReader{
			ctx:  ctx,
			rest: text(pauseAfter+1, lastEvent),
		})
	}
	return &Response{
		Status:   http.StatusOK,
		Verified: true,
		Body:     io.NopCloser(body),
	}, nil
}

// pausedReader waits for pauseLength before the rest.
type pausedReader struct {
	ctx    context.Context
	waited bool
	rest   io.Reader
}

// Read implements io.Reader.
func (r *pausedReader) Read(buf []byte) (int, error) {
	if !r.waited {
		r.waited = true
		if err := sleepFor(r.ctx, pauseLength); err != nil {
			return 0, err
		}
	}
	return r.rest.Read(buf)
}

// String returns what happened.
func (p *originPlay) String() string {
	var lines []string
	for origin, n := range p.reached {
		lines = append(lines, fmt.Sprintf("calls to %s: %d", origin, n))
	}
	for what, n := range p.outcomes {
		lines = append(lines, fmt.Sprintf("%s: %d", what, n))
	}
	slices.Sort(lines)
	lines = append(lines, fmt.Sprintf("of two origins: %d, jobs of stages: %d", p.mixed, p.stages.submitted))
	return strings.Join(lines, "\n") + "\n"
}
