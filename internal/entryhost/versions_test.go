package entryhost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/streamorigin"
	"sequoiafork/internal/upstream"
)

// TestStreamsKeepTheVersionThatBeganThem guards against streams that hold events of two software versions.
func TestStreamsKeepTheVersionThatBeganThem(t *testing.T) {
	datadriven.Walk(t, "testdata/versions", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			p := &versionPlay{
				cutBy: map[string]int{},
				store: &recordStore{
					versions: make(map[streamorigin.Origin]bool),
				},
			}
			d.ScanArgs(t, "streams", &p.streams)
			d.ScanArgs(t, "versions", &p.versions)
			d.MaybeScanArgs(t, "ended", &p.ended)
			p.cutByUpstream = d.HasArg("cut_by_upstream")
			p.unnamed = d.HasArg("unnamed")
			p.restarts = d.HasArg("daemons_restart")
			p.lost = d.HasArg("daemons_lost")
			p.cutOff = d.HasArg("cut_off")
			d.MaybeScanArgs(t, "left", &p.left)
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
	// lost reports that all daemons end at once and others start before the callers come back, and cutOff that
	// they come back at a daemon that reaches no other one and has been told of the first version only.
	lost   bool
	cutOff bool
	// left is the number of versions, the first ones, whose upstreams have left before the callers come back.
	left  int
	gone  int // Of left, those that have.
	store *recordStore

	mu    sync.Mutex
	cutBy map[string]int
	// started are all daemons. They end with the play, so that none of a later one gets an address that they look for.
	started []*running
}

func (p *versionPlay) play(t *testing.T) string {
	defer func() {
		for _, r := range p.started {
			r.end()
		}
	}()
	v := &invoker{}
	var daemons []*running
	var seeds []string
	for range 3 {
		r := p.start(t, v, seeds...)
		daemons = append(daemons, r)
		seeds = append(seeds, r.PeerAddr())
	}
	agreed(t, daemons)
	var alone *running
	if p.cutOff {
		alone = p.start(t, v)
		alone.SetUpstreams(slices.DeleteFunc(p.upstreams(), func(h upstream.Host) bool { return h.Version != "v1" }))
	}
	time.Sleep(settleTime)
	callers := p.beginAll(t, daemons)
	time.Sleep(settleTime)
	for _, r := range daemons[:p.ended] {
		r.end()
	}
	p.gone = p.left
	if p.lost {
		daemons = p.replaceAll(t, v, daemons)
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
			next := daemons[p.ended+(i+1)%(len(daemons)-p.ended)]
			if alone != nil {
				next = alone
			}
			c.takeUp(t, next, p.unnamed)
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
	if p.cutOff {
		return fmt.Sprintf("of two versions: %d, whole: %s\n", mixed, wholeByVersion(callers))
	}
	return fmt.Sprintf("of two versions: %d, whole: %d, refused: %d\n", mixed, whole, refused)
}

// wholeByVersion returns whether all, none or some of the streams that began at each version are whole.
func wholeByVersion(callers []*streamCaller) string {
	whole, all := make(map[string]int), make(map[string]int)
	for _, c := range callers {
		all[c.seen[0]]++
		if c.events == streamEvents {
			whole[c.seen[0]]++
		}
	}
	var list []string
	for _, version := range slices.Sorted(maps.Keys(all)) {
		share := "some"
		switch whole[version] {
		case 0:
			share = "none"
		case all[version]:
			share = "all"
		}
		list = append(list, share+" of "+version)
	}
	return strings.Join(list, ", ")
}

// start starts a daemon that knows routes and upstreams.
func (p *versionPlay) start(t *testing.T, v *invoker, seeds ...string) *running {
	p.store.listed = versionsOf(p.upstreams())
	r := idleWithLog(t, &recordReader{
		store: p.store,
	}, hostOfUnknownSize, p, v, seeds...)
	r.run(t)
	p.started = append(p.started, r)
	p.store.join(r.Daemon)
	r.SetTable(tableOf(1), []byte("1"), "test")
	r.SetUpstreams(p.upstreams())
	return r
}

// replaceAll ends all daemons at once, and then starts as many others.
func (p *versionPlay) replaceAll(t *testing.T, v *invoker, daemons []*running) []*running {
	for _, r := range daemons {
		r.end()
	}
	var others []*running
	var seeds []string
	for range daemons {
		r := p.start(t, v, seeds...)
		others = append(others, r)
		seeds = append(seeds, r.PeerAddr())
	}
	agreed(t, others)
	return others
}

// versionsOf returns the versions of upstreams.
func versionsOf(hosts []upstream.Host) []streamorigin.Origin {
	var list []streamorigin.Origin
	for _, h := range hosts {
		list = append(list, streamorigin.Origin{
			Service: h.Service,
			Version: h.Version,
		})
	}
	return list
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

// upstreams returns the upstreams that serve now.
func (p *versionPlay) upstreams() []upstream.Host {
	return slices.DeleteFunc(p.allUpstreams(), func(h upstream.Host) bool { return h.Version <= fmt.Sprintf("v%d", p.gone) })
}

func (p *versionPlay) allUpstreams() []upstream.Host {
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
	for _, h := range p.allUpstreams() {
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
