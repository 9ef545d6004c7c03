package replay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sequoiafork/internal/http1"
	"sequoiafork/internal/wire/callerapi"
)

// PlayHTTP plays the trace open-loop against the daemons at the addresses. If a call
// fails without an outcome, a repeatable request is sent to the next address.
func PlayHTTP(ctx context.Context, trace []Arrival, addrs []string) (*Run, error) {
	clients := make([]*callerapi.Client, len(addrs))
	for i, addr := range addrs {
		c, err := callerapi.NewClient("http://"+addr, callerapi.WithClient(&http.Client{
			Transport: http1.New(http1.Config{
				Base: http.DefaultTransport.(*http.Transport).Clone(),
			}),
		}))
		if err != nil {
			return nil, fmt.Errorf("entry %s: %w", addr, err)
		}
		clients[i] = c
	}
	// Idempotency keys are unique to this run, so that no daemon returns the stored
	// outcome of an earlier run.
	session := strconv.FormatInt(time.Now().UnixNano(), 36)
	run := &Run{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range trace {
		if err := wait(ctx, time.Until(start.Add(a.At()))); err != nil {
			break
		}
		if a.IdempotencyKey != "" {
			a.IdempotencyKey = session + "-" + a.IdempotencyKey
		}
		wg.Go(func() {
			res := callHTTP(ctx, a, clients, i)
			mu.Lock()
			defer mu.Unlock()
			run.Results = append(run.Results, res)
		})
	}
	wg.Wait()
	return run, ctx.Err()
}

// callHTTP sends one request, to client i first, and returns its result.
func callHTTP(ctx context.Context, a Arrival, clients []*callerapi.Client, i int) Result {
	res := Result{
		Arrival: a,
		Outcome: "unknown",
	}
	start := time.Now()
	for n := range clients {
		res.Tries++
		response, err := clients[(i+n)%len(clients)].CallRoute(ctx, newCall(a), newParams(a))
		res.Latency = time.Since(start)
		var status *callerapi.OutcomeStatusCodeWithHeaders
		switch {
		case err == nil:
			res.Outcome = string(response.Outcome)
			res.InTime = res.Latency <= a.Deadline()
			return res
		case errors.As(err, &status):
			res.Outcome = string(status.Response.Outcome)
			res.Code = status.Response.Code
			return res
		case !a.Repeatable:
			return res
		}
	}
	return res
}

func newCall(a Arrival) *callerapi.Call {
	return &callerapi.Call{
		Workspace:  a.Workspace,
		Input:      a.Input(),
		DeadlineMs: callerapi.NewOptInt64(a.DeadlineMs),
	}
}

func newParams(a Arrival) callerapi.CallRouteParams {
	p := callerapi.CallRouteParams{
		Route: a.Route,
	}
	if a.IdempotencyKey != "" {
		p.IdempotencyKey = callerapi.NewOptString(a.IdempotencyKey)
	}
	return p
}
