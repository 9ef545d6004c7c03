package replay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/callerapi"
)

// fakeDaemon answers every call except those of the route "refused", which it rejects.
type fakeDaemon struct {
	callerapi.Handler
	mu   sync.Mutex
	keys map[string]int
}

func (d *fakeDaemon) CallRoute(_ context.Context, req *callerapi.Call, p callerapi.CallRouteParams) (*callerapi.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys[p.IdempotencyKey.Or("")]++
	if p.Route == "refused" {
		return nil, context.Canceled
	}
	return &callerapi.Answer{
		RequestID: "r-1",
		Outcome:   callerapi.AnswerOutcomeAnswered,
		Output:    req.Input,
		Stages:    []callerapi.StageReport{},
	}, nil
}

func (d *fakeDaemon) NewError(context.Context, error) *callerapi.OutcomeStatusCodeWithHeaders {
	return &callerapi.OutcomeStatusCodeWithHeaders{
		StatusCode: http.StatusServiceUnavailable,
		Response: callerapi.Outcome{
			Outcome: callerapi.OutcomeOutcomeNotRun,
			Code:    "overloaded",
		},
	}
}

func TestPlayHTTP(t *testing.T) {
	d := &fakeDaemon{
		keys: map[string]int{},
	}
	handler, err := callerapi.NewServer(d, nil)
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	defer server.Close()
	lost, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, lost.Close())
	arrival := func(route, key string) Arrival {
		return Arrival{
			Workspace:      "w",
			Route:          route,
			Prefix:         "p",
			InputBytes:     100,
			DeadlineMs:     60_000,
			IdempotencyKey: key,
			Repeatable:     key == "",
		}
	}
	run, err := PlayHTTP(t.Context(), []Arrival{
		arrival("answered", ""),
		arrival("answered", ""),
		arrival("refused", ""),
		arrival("answered", "k"),
	}, []string{server.Listener.Addr().String(), lost.Addr().String()})
	require.NoError(t, err)
	c := run.Count(All)
	require.Equal(t, []int{2, 1, 1}, []int{c.InTime, c.NotRun, c.Unknown},
		"a request with a key is not sent to a second daemon")
	require.Equal(t, map[string]int{"": 3}, d.keys)
}
