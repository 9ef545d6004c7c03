package entryhost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/upstream"
)

// TestStreamsKeepTheVersionThatBeganThem guards against streams that hold events of two software versions.
func TestStreamsKeepTheVersionThatBeganThem(t *testing.T) {
	datadriven.Walk(t, "testdata/versions", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			p := &versionPlay{
				cutBy: map[string]int{},
			}
			d.ScanArgs(t, "streams", &p.streams)
			d.ScanArgs(t, "versions", &p.versions)
			d.MaybeScanArgs(t, "ended", &p.ended)
			p.cutByUpstream = d.HasArg("cut_by_upstream")
			p.unnamed = d.HasArg("unnamed")
			p.restarts = d.HasArg("daemons_restart")
			return p.play(t)
		})
	})
}

const (
	// streamEvents is the number of events of a whole stream, and cutAfter that of one that is cut.
	streamEvents = 6
	cutAfter     = 3
	// settleTime is longer than daemons take to tell each other what they need to know.
	settleTime = 300 * time.Millisecond
	// upstreamsPerVersion is the number of upstreams of each version.
	upstreamsPerVersion = 3
)

// versionPlay is a load of streams on daemons whose upstreams have several versions. Each stream is
// cut once: by its upstream, or by its caller, which then takes it up at another daemon.
type versionPlay struct {
	streams       int
	versions      int
	cutByUpstream bool
	// unnamed callers don't say which request began their stream.
	unnamed bool
	// ended is the number of daemons that end before the callers come back.
	ended int
	// restarts reports that all daemons are replaced in turn before the callers come back.
	restarts bool

	mu    sync.Mutex
	cutBy map[string]int
}

func (p *versionPlay) play(t *testing.T) string {
	v := &invoker{}
	var daemons []*running
	var seeds []string
	for range 3 {
		r := p.start(t, v, seeds...)
		daemons = append(daemons, r)
		seeds = append(seeds, r.PeerAddr())
	}
	agreed(t, daemons)
	callers := p.beginAll(t, daemons)
	time.Sleep(settleTime)
	for _, r := range daemons[:p.ended] {
		r.end()
	}
	for i := range daemons {
		if p.restarts {
			daemons[i].end()
			daemons[i] = p.start(t, v, seeds...)
			seeds = append(seeds, daemons[i].PeerAddr())
			agreed(t, daemons)
			time.Sleep(settleTime)
		}
	}
	mixed, whole, refused := 0, 0, 0
	for i, c := range callers {
		if c.events < streamEvents {
			next := p.ended + (i+1)%(len(daemons)-p.ended)
			c.takeUp(t, daemons[next], p.unnamed)
		}
		switch {
		case len(c.versions()) > 1:
			mixed++
		case c.events == streamEvents:
			whole++
		case c.refused:
			refused++
		}
	}
	return fmt.Sprintf("of two versions: %d, whole: %d, refused: %d\n", mixed, whole, refused)
}

// start starts a daemon that knows routes and upstreams.
func (p *versionPlay) start(t *testing.T, v *invoker, seeds ...string) *running {
	r := idleWith(t, p, v, seeds...)
	r.run(t)
	r.SetTable(tableOf(1), []byte("1"), "test")
	r.SetUpstreams(p.upstreams())
	return r
}

func (p *versionPlay) beginAll(t *testing.T, daemons []*running) []*streamCaller {
	var callers []*streamCaller
	for i := range p.streams {
		c := &streamCaller{
			id:       fmt.Sprintf("r%d", i),
			cutAfter: cutAfter,
		}
		if p.cutByUpstream {
			c.cutAfter = streamEvents
		}
		c.begin(t, daemons[i%len(daemons)])
		callers = append(callers, c)
	}
	return callers
}

func (p *versionPlay) upstreams() []upstream.Host {
	var hosts []upstream.Host
	for i := range upstreamsPerVersion * p.versions {
		hosts = append(hosts, upstream.Host{
			Addr:        fmt.Sprintf("192.0.2.%d:80", i+1),
			Incarnation: fmt.Sprintf("i-%d", i+1),
			Service:     "s",
			Version:     fmt.Sprintf("v%d", i%p.versions+1),
		})
	}
	return hosts
}

// Call implements forward.UpstreamClient. Each event names the version that made it.
func (p *versionPlay) Call(_ context.Context, call forward.Call) (*forward.Response, error) {
	version := ""
	for _, h := range p.upstreams() {
		if h.Addr == call.Addr {
			version = h.Version
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutBy[call.Request.ID]++
	last := streamEvents
	var end io.Reader = strings.NewReader("")
	if p.cutByUpstream && p.cutBy[call.Request.ID] == 1 {
		last = cutAfter
		end = brokenReader{}
	}
	first := 1
	if call.Resume {
		first = int(call.ResumeAfter) + 1
	}
	var events strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", i, version)
	}
	return &forward.Response{
		Status:   http.StatusOK,
		Verified: true,
		Body:     io.NopCloser(io.MultiReader(strings.NewReader(events.String()), end)),
	}, nil
}

// brokenReader is a connection that was lost.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// streamCaller is the caller of one stream. It loses its connection after cutAfter events.
type streamCaller struct {
	id       string
	cutAfter int
	events   int
	seen     []string
	refused  bool
}

func (c *streamCaller) begin(t *testing.T, r *running) {
	r.Serve(t.Context(), c.request(c.id), c)
}

// takeUp comes back for the rest of the stream.
func (c *streamCaller) takeUp(t *testing.T, r *running, unnamed bool) {
	c.cutAfter = streamEvents
	req := c.request(c.id + "-again")
	if !unnamed {
		req.Resumes = c.id
	}
	req.LastEventID = int64(c.events)
	req.HasLastEvent = true
	_, c.refused = r.Serve(t.Context(), req, c).(outcome.NotRun)
}

func (c *streamCaller) request(id string) forward.Request {
	return forward.Request{
		ID:       id,
		Method:   http.MethodPost,
		Target:   "/s/x",
		Path:     "/s/x",
		Host:     "h",
		Received: time.Now(),
	}
}

// WriteResponse implements forward.ResponseWriter.
func (c *streamCaller) WriteResponse(int, http.Header, []byte) {}

// BeginStream implements forward.ResponseWriter.
func (c *streamCaller) BeginStream(int, http.Header) {}

// WriteEvent implements forward.ResponseWriter.
func (c *streamCaller) WriteEvent(raw []byte) error {
	if c.events == c.cutAfter {
		return errors.New("the caller is gone")
	}
	c.events++
	_, version, _ := strings.Cut(strings.TrimSpace(string(raw)), "data: ")
	c.seen = append(c.seen, version)
	return nil
}

// versions returns the versions that made the events.
func (c *streamCaller) versions() map[string]bool {
	found := make(map[string]bool)
	for _, v := range c.seen {
		found[v] = true
	}
	return found
}
