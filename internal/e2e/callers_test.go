package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/callerapi"
)

const (
	callerSeed = 6
	// maxCallerInterval bounds the random interval between two requests of a caller.
	maxCallerInterval = 20 * time.Millisecond
	// minAnswered is how many requests must be answered for a load to be meaningful.
	minAnswered = 500
)

// callerLoad runs concurrent callers. Each resolves the daemons' addresses, caches
// them for the whole TTL and sends one request after another.
type callerLoad struct {
	cluster *cluster
	daemons map[string]int // By caller address.
	stop    context.CancelFunc
	wg      sync.WaitGroup

	// withoutClaims omits idempotency keys, whose claims need the log.
	withoutClaims atomic.Bool
	count         requestCount
	mu            sync.Mutex
	failures      []callResult
}

func (c *cluster) startCallers(t *testing.T, n int, seed uint64) *callerLoad {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	load := &callerLoad{
		cluster: c,
		daemons: make(map[string]int),
		stop:    stop,
	}
	for i, d := range c.daemons {
		load.daemons[d.Caller] = i
	}
	for i := range n {
		load.wg.Go(func() {
			load.run(ctx, fmt.Sprintf("caller-%d", i), rand.New(rand.NewPCG(seed, uint64(i))))
		})
	}
	return load
}

// finish ends the load and checks that no request was aborted and that each rejected
// request was answered at another address.
func (l *callerLoad) finish(t *testing.T) {
	t.Helper()
	l.stop()
	l.wg.Wait()
	t.Logf("%d answered, %d of them at another daemon after a rejection, %d aborted or lost", l.count.answered.Load(), l.count.answeredOnRetry.Load(), len(l.failures))
	require.Empty(t, l.failures, "requests aborted or rejected by every daemon")
	require.Greater(t, l.count.answered.Load(), int64(minAnswered))
}

func (l *callerLoad) run(ctx context.Context, name string, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; {
		addrs, ttl := l.resolve(ctx, name, r)
		for until := time.Now().Add(ttl); time.Now().Before(until) && ctx.Err() == nil; n++ {
			l.send(addrs, l.request(fmt.Sprintf("%s %d", name, n), r), r.IntN(2) == 0)
			time.Sleep(time.Duration(r.Int64N(int64(maxCallerInterval))))
		}
	}
}

// resolve asks the daemons in random order until one returns addresses.
func (l *callerLoad) resolve(ctx context.Context, name string, r *rand.Rand) ([]string, time.Duration) {
	for _, i := range r.Perm(len(l.cluster.daemons)) {
		res, err := l.cluster.daemons[i].callers.Resolve(ctx, callerapi.ResolveParams{
			Caller: name,
		})
		if err == nil && len(res.Addresses) > 0 {
			return res.Addresses, time.Duration(res.KeepMs) * time.Millisecond
		}
	}
	return nil, 0
}

func (l *callerLoad) request(input string, r *rand.Rand) call {
	req := call{
		route: orderRoute,
		input: input,
	}
	switch r.IntN(4) {
	case 0:
		return req
	case 1:
		req.route = encodeRoute
	case 2:
		req.route = dispatchRoute
	case 3:
		req.route = dispatchRoute
		if !l.withoutClaims.Load() {
			req.key = input
		}
	}
	return req
}

// send sends a request to the first address, and to the next one as long as the
// outcome is not run.
func (l *callerLoad) send(addrs []string, req call, streamed bool) {
	var last callResult
	for i, addr := range addrs {
		req.daemon = l.daemons[addr]
		last = l.sendOnce(req, streamed)
		if last.outcome == answered {
			l.count.answered.Add(1)
			if i > 0 {
				l.count.answeredOnRetry.Add(1)
			}
			return
		}
		if last.outcome != notRun {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, last)
}

// sendOnce makes one call, streamed if asked for and if the route generates tokens.
func (l *callerLoad) sendOnce(req call, streamed bool) callResult {
	if streamed && req.route == orderRoute {
		return l.cluster.stream(context.Background(), req)
	}
	return l.cluster.do(context.Background(), req)
}

// requestCount counts answered requests, and those answered at another daemon after
// a rejection.
type requestCount struct {
	answered, answeredOnRetry atomic.Int64
}
