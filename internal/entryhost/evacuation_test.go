package entryhost

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/settings"
	"sequoiafork/internal/upstream"
)

const (
	// evacuationMargin is how long after the start of an evacuation a request may still reach its data centre.
	evacuationMargin = 200 * time.Millisecond
	// phaseTime is how long the load of a test runs before and after the evacuation begins.
	phaseTime = 1500 * time.Millisecond
	// hangTime is how long upstreams leave some requests without an answer, which are then hedged.
	hangTime = 400 * time.Millisecond
	// limitPerSecond is the rate to which upstreams limit requests, which then wait for their turn.
	limitPerSecond = 5
)

// evacuationTable has an idempotent route, one of streams, and one of streams with a stage.
func evacuationTable() *routing.Table {
	cfg := routing.Config{
		Version:      1,
		KeysOptional: true,
		Services: []routing.Service{
			{
				Name: "s",
				Cold: coldstart.Spec{
					Start:     time.Second,
					PerSecond: 1000,
				},
			},
			{
				Name: "w",
				Batch: &routing.BatchSpec{
					Concurrency:       1,
					MaxSize:           8,
					CallOverhead:      10 * time.Millisecond,
					ItemTime:          time.Millisecond,
					ResultMemoryBytes: 1 << 30,
					ResultLifetime:    4 * time.Second,
				},
			},
		},
	}
	for path, kind := range map[string]routing.Kind{
		"/i/": routing.Idempotent,
		"/l/": routing.Idempotent,
		"/s/": routing.ResumableStream,
		"/w/": routing.ResumableStream,
	} {
		route := routing.Route{
			Name:             path,
			Host:             "h",
			PathPrefix:       path,
			Kind:             kind,
			Timeout:          2 * time.Second,
			LatencyObjective: 500 * time.Millisecond,
			MaxAttempts:      3,
			Targets: []routing.Target{
				{
					Service: "s",
					Weight:  1,
				},
			},
		}
		if path == "/l/" { // Its requests wait long for their turn.
			route.LatencyObjective = 1500 * time.Millisecond
		}
		if path == "/w/" {
			route.Stages = []routing.Stage{
				{
					Service: "w",
				},
			}
		}
		cfg.Routes = append(cfg.Routes, route)
	}
	return routing.New(cfg)
}

// evacuationHosts are three upstreams of each service in each data centre.
func evacuationHosts() []upstream.Host {
	var hosts []upstream.Host
	for i := range 12 {
		h := upstream.Host{
			Addr:       fmt.Sprintf("192.0.2.%d:80", 10+i/2),
			DataCentre: "a",
			Service:    "s",
		}
		if i%2 == 1 {
			h.Addr = fmt.Sprintf("192.0.2.%d:80", 20+i/2)
			h.DataCentre = "b"
		}
		if i >= 6 {
			h.Service = "w"
		}
		h.Incarnation = "i-" + h.Addr
		hosts = append(hosts, h)
	}
	return hosts
}

// evacuationDaemon runs a daemon before the upstreams of a recorder. It logs to logger.
func evacuationDaemon(t *testing.T, v *recorder, logger *zap.Logger, await bool) *running {
	t.Helper()
	s := settings.Default()
	s.Daemon.PeerAddr = "127.0.0.1:0"
	s.Daemon.CallerAddr = fmt.Sprintf("192.0.2.1:%d", callers.Add(1))
	s.Daemon.DataCentre = "a"
	s.Retry.Burst = 10_000
	s.Upstreams.ColdOver = 1
	h, err := New(Config{
		Settings:         s,
		Logger:           logger,
		Client:           v,
		Invoker:          v,
		DecodeTable:      decodeVersion,
		AwaitEvacuations: await,
	})
	require.NoError(t, err)
	r := &running{
		Daemon: h,
		done:   make(chan error, 1),
	}
	r.run(t)
	r.SetTable(evacuationTable(), nil, "test")
	r.AddPeers(nil) // There is no other daemon, so that the owner of the stage work is known at once.
	r.SetUpstreams(evacuationHosts())
	return r
}

// send sends one request to a path, and returns its outcome.
func send(t *testing.T, r *running, id, path string) outcome.Outcome {
	t.Helper()
	c := &streamCaller{
		id:       id,
		cutAfter: streamEvents,
	}
	req := c.request(id)
	req.Path, req.Target = path+"x", path+"x"
	req.PieceCounts = []int{2}
	return r.Serve(t.Context(), req, c)
}

// sendFor sends requests to a path at intervals of 10 ms for a time, and waits for their outcomes.
func sendFor(t *testing.T, r *running, path string, d time.Duration) *sync.WaitGroup {
	t.Helper()
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < d; i++ {
		wg.Go(func() { send(t, r, fmt.Sprint(path, began.UnixNano(), i), path) })
		time.Sleep(10 * time.Millisecond)
	}
	return &wg
}

// TestNothingReachesAnEvacuatedDataCentre guards against each kind of request that reaches an upstream of a data centre
// that is evacuated, and against upstreams that get nothing when the evacuation has ended.
func TestNothingReachesAnEvacuatedDataCentre(t *testing.T) {
	for _, tt := range []struct {
		name, path, failure string
	}{
		{
			name: "first attempts",
			path: "/i/",
		},
		{
			name:    "retries",
			path:    "/i/",
			failure: "retry",
		},
		{
			name:    "hedges",
			path:    "/i/",
			failure: "hang",
		},
		{
			name:    "resumed streams",
			path:    "/s/",
			failure: "cut",
		},
		{
			name:    "waiting attempts",
			path:    "/l/",
			failure: "limit",
		},
		{
			name: "stage calls",
			path: "/w/",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			v := newRecorder(tt.failure)
			r := evacuationDaemon(t, v, zap.NewNop(), false)
			started := time.Now()
			wg := sendFor(t, r, tt.path, phaseTime)
			require.Positive(t, v.since("a", started))
			r.SetEvacuated("a", true)
			began := time.Now()
			sendFor(t, r, tt.path, phaseTime).Wait()
			wg.Wait()
			require.Zero(t, v.since("a", began.Add(evacuationMargin)))
			require.Positive(t, v.since("b", began.Add(evacuationMargin)))
			r.SetEvacuated("a", false)
			ended := time.Now()
			sendFor(t, r, tt.path, 2*phaseTime).Wait()
			require.Positive(t, v.since("a", ended))
		})
	}
}

// TestStartDuringEvacuation guards against a daemon that starts, has read routes and upstreams, and sends requests to a data
// centre before it has read that it is evacuated.
func TestStartDuringEvacuation(t *testing.T) {
	v := newRecorder("")
	r := evacuationDaemon(t, v, zap.NewNop(), true)
	require.False(t, r.Ready())
	done := make(chan outcome.Outcome, 1)
	go func() { done <- send(t, r, "early", "/i/") }()
	time.Sleep(evacuationMargin)
	require.Zero(t, v.since("a", time.Time{})+v.since("b", time.Time{}))
	r.SetEvacuated("a", true)
	r.SetEvacuationsKnown()
	require.True(t, r.Ready())
	require.IsType(t, outcome.Answered{}, <-done)
	for i := range 50 {
		require.IsType(t, outcome.Answered{}, send(t, r, fmt.Sprint("later", i), "/i/"))
	}
	require.Zero(t, v.since("a", time.Time{}))
}

// TestAllDataCentresEvacuated guards against requests that wait, or that are said to may have run, when there is no data
// centre that is not evacuated.
func TestAllDataCentresEvacuated(t *testing.T) {
	v := newRecorder("")
	r := evacuationDaemon(t, v, zap.NewNop(), false)
	r.SetEvacuated("a", true)
	r.SetEvacuated("b", true)
	for _, path := range []string{"/i/", "/s/", "/w/"} {
		began := time.Now()
		o := send(t, r, path, path)
		require.IsType(t, outcome.NotRun{}, o, "%+v", o)
		require.Less(t, time.Since(began), evacuationMargin)
	}
	require.Zero(t, v.since("a", time.Time{})+v.since("b", time.Time{}))
}

// TestEvacuationOfUnknownDataCentre guards against an evacuation of a data centre without upstreams, such as one whose name
// is mistyped, that changes anything or goes unnoticed.
func TestEvacuationOfUnknownDataCentre(t *testing.T) {
	v := newRecorder("")
	core, logs := observer.New(zap.WarnLevel)
	r := evacuationDaemon(t, v, zap.New(core), false)
	r.SetEvacuated("nowhere", true)
	require.Equal(t, 1, logs.FilterMessage("evacuation names a data centre without upstreams").Len())
	for i := range 50 {
		require.IsType(t, outcome.Answered{}, send(t, r, fmt.Sprint(i), "/i/"))
	}
	require.Positive(t, v.since("a", time.Time{}))
	require.Positive(t, v.since("b", time.Time{}))
}

// TestEndOfEvacuationIsCold guards against upstreams that get requests at full rate when the evacuation of their data
// centre has ended, against new ones that do, and against others that are taken for cold.
func TestEndOfEvacuationIsCold(t *testing.T) {
	r := evacuationDaemon(t, newRecorder(""), zap.NewNop(), false)
	cold := func() map[string]bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		hosts := append([]upstream.Host(nil), r.hosts...)
		r.markCold(hosts)
		found := make(map[string]bool)
		for _, h := range hosts {
			if time.Now().Before(h.Cold.Until) {
				found[h.DataCentre+h.Service] = true
			}
		}
		return found
	}
	require.Empty(t, cold())
	r.SetEvacuated("a", true)
	r.SetEvacuated("a", false)
	require.Equal(t, map[string]bool{
		"as": true,
	}, cold())
	list := evacuationHosts()
	list[1].Incarnation = "another run"
	r.SetUpstreams(list)
	require.Equal(t, map[string]bool{
		"as": true,
		"bs": true,
	}, cold())
}
