package entryhost

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"sequoiafork/internal/settings"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/upstream"
)

// badInput is the input of stages that ends the upstreams that run them.
const badInput = "bad"

// endingInvoker runs calls, unless one of their items has badInput: then the upstream ends.
type endingInvoker struct {
	mu sync.Mutex
	// ended are the incarnations that badInput has ended.
	ended []string
}

// Run implements stagework.Invoker.
func (v *endingInvoker) Run(_ context.Context, u stagework.Upstream, items []stagework.Item) ([]stagework.ItemResult, error) {
	time.Sleep(20 * time.Millisecond)
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.ContainsFunc(items, func(it stagework.Item) bool { return it.InputKey == badInput }) {
		v.ended = append(v.ended, u.Incarnation)
		return nil, fmt.Errorf("read response: %w", io.ErrUnexpectedEOF)
	}
	results := make([]stagework.ItemResult, len(items))
	for i, it := range items {
		results[i].Handle = fmt.Sprint(it.RequestID, it.Stage, it.Piece)
	}
	return results, nil
}

// Free implements stagework.Invoker.
func (*endingInvoker) Free(context.Context, stagework.Upstream, []string) error { return nil }

// FreeMemory implements stagework.Invoker.
func (*endingInvoker) FreeMemory(context.Context, stagework.Upstream) (int64, error) {
	return 1 << 30, nil
}

func (v *endingInvoker) endedUpstreams() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.ended)
}

// refusingAddr returns an address at which connections are refused, as those to a process that has ended.
func refusingAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// TestStageInputThatEndsUpstreams guards against stage work that ends one upstream after the other, each time that
// requests with the same input come, and takes the pieces of other requests in the same batches with it.
func TestStageInputThatEndsUpstreams(t *testing.T) {
	const (
		upstreamCount = 6
		rounds        = 30
		// maxEnded is the number of ends after which the input is held, and of calls that may be on their way then.
		maxEnded = 5
	)
	v := &endingInvoker{}
	s := settings.Default()
	s.Daemon.PeerAddr = "127.0.0.1:0"
	s.Daemon.CallerAddr = fmt.Sprintf("192.0.2.1:%d", callers.Add(1))
	s.Daemon.DataCentre = "a"
	d, err := New(Config{
		Settings:    s,
		Logger:      zap.NewNop(),
		Client:      noCaller{},
		Invoker:     v,
		DecodeTable: decodeVersion,
	})
	require.NoError(t, err)
	r := &running{
		Daemon: d,
		done:   make(chan error, 1),
	}
	r.run(t)
	r.SetTable(tableOf(1), []byte("1"), "test")
	addr := refusingAddr(t)
	list := func() []upstream.Host {
		var hosts []upstream.Host
		for i := range upstreamCount {
			hosts = append(hosts, upstream.Host{
				Addr:        addr,
				Incarnation: fmt.Sprintf("i-%d-%d", i, len(v.endedUpstreams())),
				Service:     "w",
			})
		}
		return hosts
	}
	r.SetUpstreams(list())
	agreed(t, []*running{
		r,
	})
	done := 0
	for round := range rounds {
		var both sync.WaitGroup
		for _, input := range []string{
			badInput,
			fmt.Sprint("sound", round),
		} {
			both.Go(func() {
				j := job(fmt.Sprint("r", round, input))
				j.InputKey = input
				submitted, err := r.submitter.Submit(t.Context(), j)
				if err != nil {
					return
				}
				defer submitted.Release()
				if _, err := submitted.Wait(t.Context()); err == nil && input != badInput {
					done++
				}
			})
		}
		both.Wait()
		r.SetUpstreams(list())
	}
	require.LessOrEqual(t, len(v.endedUpstreams()), maxEnded, "ended: %v", v.endedUpstreams())
	require.GreaterOrEqual(t, done, rounds-maxEnded, "sound jobs done")
}
