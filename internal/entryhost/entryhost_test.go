package entryhost

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/settings"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/upstream"
)

const (
	// waitTimeout bounds the time that daemons need to agree.
	waitTimeout   = 20 * time.Second
	checkInterval = 20 * time.Millisecond
)

// invoker completes each call after the duration work, and counts the results created and
// freed.
type invoker struct {
	mu      sync.Mutex
	created int
	freed   int
	work    time.Duration
}

func (v *invoker) Run(ctx context.Context, _ stagework.Upstream, items []stagework.Item) ([]stagework.ItemResult, error) {
	select {
	case <-time.After(v.work):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	results := make([]stagework.ItemResult, len(items))
	for i := range items {
		v.created++
		results[i].Handle = fmt.Sprint("r", v.created)
	}
	return results, nil
}

func (v *invoker) Free(_ context.Context, _ stagework.Upstream, handles []string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.freed += len(handles)
	return nil
}

func (*invoker) FreeMemory(context.Context, stagework.Upstream) (int64, error) { return 1 << 30, nil }

func (v *invoker) counts() (created, freed int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.created, v.freed
}

type noCaller struct{}

func (noCaller) Call(context.Context, forward.Call) (*forward.Response, error) {
	return nil, errors.New("no upstream in this test")
}

func tableOf(version uint64) *routing.Table {
	return routing.New(routing.Config{
		Version:      version,
		KeysOptional: true,
		Routes: []routing.Route{
			{
				Name:             "streams",
				Host:             "h",
				PathPrefix:       "/s/",
				Kind:             routing.ResumableStream,
				Timeout:          20 * time.Second,
				LatencyObjective: time.Second,
				MaxAttempts:      3,
				Targets: []routing.Target{
					{
						Service: "s",
						Weight:  1,
					},
				},
			},
		},
		Services: []routing.Service{
			{
				Name: "s",
			},
			{
				Name: "w",
				Batch: &routing.BatchSpec{
					Concurrency:       1,
					MaxSize:           8,
					CallOverhead:      100 * time.Millisecond,
					ItemTime:          time.Millisecond,
					ResultMemoryBytes: 1 << 30,
					ResultLifetime:    4 * time.Second,
				},
			},
		},
	})
}

func decodeVersion(raw []byte) (*routing.Table, error) {
	version, err := strconv.ParseUint(string(raw), 10, 64)
	return tableOf(version), err
}

// running is a daemon that can be stopped.
type running struct {
	*Daemon
	stop context.CancelFunc
	done chan error
}

// start runs a daemon that knows routes and upstreams.
func start(t *testing.T, v *invoker, seeds ...string) *running {
	t.Helper()
	r := startWithout(t, v, seeds...)
	r.SetTable(tableOf(1), []byte("1"), "test")
	r.SetUpstreams(upstreams())
	return r
}

func upstreams() []upstream.Host {
	return []upstream.Host{
		{
			Addr:        "192.0.2.99:80",
			Incarnation: "i-1",
			Service:     "w",
		},
	}
}

// callers is the number of caller addresses in use; each daemon gets its own.
var callers atomic.Int64

// startWithout runs a daemon without routes and upstreams.
func startWithout(t *testing.T, v *invoker, seeds ...string) *running {
	t.Helper()
	r := idle(t, v, seeds...)
	r.run(t)
	return r
}

// idle returns a daemon that listens on its peer address but does not run yet.
func idle(t *testing.T, v *invoker, seeds ...string) *running {
	t.Helper()
	return idleWith(t, noCaller{}, v, seeds...)
}

// idleWith returns an idle daemon that sends requests to upstreams by a client of the test.
func idleWith(t *testing.T, client forward.UpstreamClient, v *invoker, seeds ...string) *running {
	t.Helper()
	return idleOn(t, hostOfUnknownSize, client, v, seeds...)
}

// hostOfUnknownSize is the number of cores of a host whose capacity is not known.
const hostOfUnknownSize = 0

// idleOn returns an idle daemon on a host with a number of cores.
func idleOn(t *testing.T, cores float64, client forward.UpstreamClient, v *invoker, seeds ...string) *running {
	t.Helper()
	return idleWithLog(t, nil, cores, client, v, seeds...)
}

// idleWithLog returns an idle daemon with a StreamLog, which may be nil.
func idleWithLog(t *testing.T, log StreamLog, cores float64, client forward.UpstreamClient, v *invoker, seeds ...string) *running {
	t.Helper()
	s := settings.Default()
	s.Daemon.Cores = cores
	s.Daemon.PeerAddr = "127.0.0.1:0"
	s.Daemon.CallerAddr = fmt.Sprintf("192.0.2.1:%d", callers.Add(1))
	s.Daemon.DataCentre = "a"
	s.Peers.Seeds = seeds
	s.Retry.Burst = 1000
	h, err := New(Config{
		Settings:    s,
		Logger:      zap.NewNop(),
		Client:      client,
		Invoker:     v,
		DecodeTable: decodeVersion,
		StreamLog:   log,
	})
	require.NoError(t, err)
	return &running{
		Daemon: h,
		done:   make(chan error, 1),
	}
}

func (r *running) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- r.Run(ctx) }()
	t.Cleanup(r.end)
}

func (r *running) end() {
	r.stop()
	<-r.done
	r.done <- nil
}

func cluster(t *testing.T, v *invoker) []*running {
	var hosts []*running
	var seeds []string
	for range 3 {
		h := start(t, v, seeds...)
		hosts = append(hosts, h)
		seeds = append(seeds, h.PeerAddr())
	}
	return hosts
}

// owners returns the incarnations that the daemons consider to be the owner.
func owners(hosts []*running) map[string]bool {
	found := make(map[string]bool)
	for _, h := range hosts {
		found[h.submitter.owner().Incarnation] = true
	}
	return found
}

// agreed waits until all daemons agree on an owner that has acquired ownership.
func agreed(t *testing.T, hosts []*running) *running {
	t.Helper()
	var owner *running
	require.Eventually(t, func() bool {
		found := owners(hosts)
		for _, h := range hosts {
			n, _ := h.members.Count()
			if len(found) == 1 && n == len(hosts) && found[h.members.Self().Incarnation] && h.members.Self().Term > 0 {
				owner = h
			}
		}
		return owner != nil
	}, waitTimeout, checkInterval)
	return owner
}

func without(hosts []*running, gone *running) []*running {
	var rest []*running
	for _, h := range hosts {
		if h != gone {
			rest = append(rest, h)
		}
	}
	return rest
}

func job(id string) stagework.Job {
	now := time.Now()
	return stagework.Job{
		RequestID:    id,
		SoftDeadline: now.Add(waitTimeout),
		Deadline:     now.Add(waitTimeout),
		Stages: []stagework.Stage{
			{
				Service:     "w",
				Pieces:      3,
				ResultBytes: 1000,
			},
		},
	}
}

func TestOwnerRunsStagesOfAllDaemons(t *testing.T) {
	v := &invoker{
		work: 50 * time.Millisecond,
	}
	hosts := cluster(t, v)
	owner := agreed(t, hosts)
	for i, h := range hosts {
		handle, err := h.submitter.Submit(t.Context(), job(fmt.Sprint("j", i)))
		require.NoError(t, err)
		require.Equal(t, 1, owner.scheduler.Len(), "jobs at the owner after daemon %d submitted one", i)
		handles, err := handle.Wait(t.Context())
		require.NoError(t, err)
		require.Len(t, handles, 3)
		handle.Release()
		require.Eventually(t, func() bool { return owner.scheduler.Len() == 0 }, waitTimeout, checkInterval)
	}
	require.Eventually(t, func() bool { made, freed := v.counts(); return made == 9 && freed == 9 }, waitTimeout, checkInterval)
}

func TestDrainingOwnerHandsOffJobs(t *testing.T) {
	v := &invoker{
		work: 400 * time.Millisecond,
	}
	hosts := cluster(t, v)
	owner := agreed(t, hosts)
	rest := without(hosts, owner)
	handle, err := rest[0].submitter.Submit(t.Context(), job("j"))
	require.NoError(t, err)
	owner.Drain(forward.Stop{})
	handles, err := handle.Wait(t.Context())
	require.NoError(t, err)
	require.Len(t, handles, 3)
	made, _ := v.counts()
	require.Equal(t, 3, made, "no piece runs twice")
	require.NotContains(t, owners(rest), owner.members.Self().Incarnation)
	handle.Release()
	require.Eventually(t, func() bool { _, freed := v.counts(); return freed == 3 }, waitTimeout, checkInterval)
}

func TestJobSurvivesOwner(t *testing.T) {
	v := &invoker{
		work: 300 * time.Millisecond,
	}
	hosts := cluster(t, v)
	owner := agreed(t, hosts)
	rest := without(hosts, owner)
	handle, err := rest[0].submitter.Submit(t.Context(), job("j"))
	require.NoError(t, err)
	owner.end()
	handles, err := handle.Wait(t.Context())
	require.NoError(t, err)
	require.Len(t, handles, 3)
	handle.Release()
}

func TestRoutesFetchedFromNeighbour(t *testing.T) {
	hosts := cluster(t, &invoker{})
	hosts[0].SetTable(tableOf(5), []byte("5"), "test")
	for _, h := range hosts {
		require.Eventually(t, func() bool { return h.Table().Version() == 5 }, waitTimeout, checkInterval)
		h.SetTable(tableOf(4), []byte("4"), "test")
		require.Equal(t, uint64(5), h.Table().Version(), "routes never revert")
	}
}

// A daemon that can't reach the platform learns routes from a neighbour but no upstreams. It
// must not be returned to callers.
func TestNotReadyWithoutUpstreams(t *testing.T) {
	hosts := cluster(t, &invoker{})
	agreed(t, hosts)
	late := startWithout(t, &invoker{}, hosts[0].PeerAddr())
	require.Eventually(t, func() bool { return late.Table() != nil }, waitTimeout, checkInterval)
	require.False(t, late.Ready())
	require.Eventually(t, func() bool { n, _ := hosts[0].members.Count(); return n == 4 }, waitTimeout, checkInterval)
	addrs, _ := hosts[0].Resolve("c", "a")
	require.Len(t, addrs, 3)
	late.SetUpstreams(upstreams())
	require.True(t, late.Ready())
	require.Eventually(t, func() bool { addrs, _ := hosts[0].Resolve("c", "a"); return len(addrs) == 4 }, waitTimeout, checkInterval)
}

func TestDrainingDaemonNotResolved(t *testing.T) {
	hosts := cluster(t, &invoker{})
	agreed(t, hosts)
	hosts[1].Drain(forward.Stop{})
	require.False(t, hosts[1].Ready())
	for _, h := range hosts {
		require.Eventually(t, func() bool { addrs, _ := h.Resolve("c", "a"); return len(addrs) == 2 }, waitTimeout, checkInterval)
	}
}
