package entryhost

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/upstream"
)

// discard is a ResponseWriter that ignores the response.
type discard struct{}

func (discard) WriteResponse(int, http.Header, []byte) {}
func (discard) BeginStream(int, http.Header)           {}
func (discard) WriteEvent([]byte) error                { return nil }

// serve sends a request that no route matches: its code tells whether routes were known.
func (r *running) serve(t *testing.T, limit time.Duration) (code outcome.Code, took time.Duration) {
	began := time.Now()
	o := r.Serve(t.Context(), forward.Request{
		ID:        "r",
		Host:      "h.example",
		Path:      "/",
		Received:  began,
		TimeLimit: limit,
	}, discard{})
	return outcome.CodeOf(o), time.Since(began)
}

// TestRequestAtStartWaitsForConfiguration guards against refusals by a daemon that was restarted
// and has not read its routes yet: callers still have its address and get one retry.
func TestRequestAtStartWaitsForConfiguration(t *testing.T) {
	d := startWithout(t, &invoker{})
	time.AfterFunc(100*time.Millisecond, func() {
		d.SetTable(tableOf(1), []byte("1"), "test")
		d.SetUpstreams(upstreams())
	})
	code, took := d.serve(t, 4*time.Second)
	require.Equal(t, outcome.CodeRouteUnknown, code, "the request is looked up in the routes")
	require.GreaterOrEqual(t, took, 90*time.Millisecond)
}

// TestRequestWithoutConfigurationIsRejected checks that the wait leaves the caller most of its
// time, and that requests are rejected at once when the start is long over.
func TestRequestWithoutConfigurationIsRejected(t *testing.T) {
	d := startWithout(t, &invoker{})
	const limit = 400 * time.Millisecond
	code, took := d.serve(t, limit)
	require.Equal(t, outcome.CodeNotReady, code)
	require.Less(t, took, limit/2)
	time.Sleep(time.Until(d.started.Add(configurationTimeout)))
	code, took = d.serve(t, time.Minute)
	require.Equal(t, outcome.CodeNotReady, code)
	require.Less(t, took, limit/2)
}

// A long list of upstreams takes seconds to read if many daemons start at once. A daemon that knows only a part of it
// serves requests once it has an upstream of each service, and must not take a part for a newer list than a whole one.
func TestServesWithFirstUpstreams(t *testing.T) {
	d := startWithout(t, &invoker{})
	d.SetTable(tableOf(1), []byte("1"), "test")
	all := append(upstreams(), upstream.Host{
		Addr:        "192.0.2.98:80",
		Incarnation: "i-2",
		Service:     "s",
	})
	d.SetFirstUpstreams(all[:1])
	require.False(t, d.Ready(), "no upstream of service s is known")
	require.Zero(t, d.members.Self().Revision)
	d.SetFirstUpstreams(all)
	require.True(t, d.Ready())
	require.Equal(t, uint64(1), d.members.Self().Revision)
	d.SetUpstreams(all)
	d.SetFirstUpstreams(all[:1])
	require.Len(t, d.upstreams.Upstreams(), len(all))
}

// The first part of the list doesn't tell all software versions of a service, so that a request that takes up a stream
// would be refused while only that is known. It must wait for the whole list, as long as other requests wait for the
// first part.
func TestResumedStreamWaitsForWholeList(t *testing.T) {
	d := startWithout(t, &invoker{})
	d.SetTable(tableOf(1), []byte("1"), "test")
	all := append(upstreams(), upstream.Host{
		Addr:        "192.0.2.98:80",
		Incarnation: "i-2",
		Service:     "s",
	})
	d.SetFirstUpstreams(all)
	const wait = 100 * time.Millisecond
	began := time.Now()
	time.AfterFunc(wait, func() { d.SetUpstreams(all) })
	d.Serve(t.Context(), forward.Request{
		ID:           "r",
		Host:         "h.example",
		Path:         "/",
		Received:     began,
		TimeLimit:    4 * time.Second,
		HasLastEvent: true,
	}, discard{})
	require.GreaterOrEqual(t, time.Since(began), wait)
	_, took := d.serve(t, 4*time.Second)
	require.Less(t, took, wait, "others don't wait any more")
}

// The list of upstreams is set again each half second although it seldom changes. With the upstreams of 300 daemons each
// call ranked all of them again, for 2% of a core at every daemon.
func TestUnchangedUpstreamsCostLittle(t *testing.T) {
	const (
		upstreamCount = 2995
		maxAllocs     = 50
	)
	d := idle(t, &invoker{}) // Without background work, whose allocations would count, too.
	d.SetTable(tableOf(1), []byte("1"), "test")
	var list []upstream.Host
	for i := range upstreamCount {
		list = append(list, upstream.Host{
			Addr:        fmt.Sprintf("192.0.2.%d:%d", i%250, 1000+i),
			Incarnation: fmt.Sprint("i-", i),
			Service:     "s",
			DataCentre:  "a",
		})
	}
	d.SetUpstreams(list)
	require.LessOrEqual(t, testing.AllocsPerRun(3, func() { d.SetUpstreams(list) }), float64(maxAllocs))
	changed := slices.Clone(list)
	changed[0].State = upstream.Leaving
	d.SetUpstreams(changed)
	require.Equal(t, upstreamCount-1, d.upstreams.LiveByDataCentre("s")["a"])
}
