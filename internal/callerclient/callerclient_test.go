package callerclient_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sequoiafork/internal/callerclient"
	"sequoiafork/internal/wire/callerapi"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	answeredBody       = `{"request_id":"r-1","outcome":"answered","output":"a roof","stages":[]}`
	drainingBody       = `{"outcome":"not_run","code":"draining","message":"this host is leaving"}`
	claimUnsettledBody = `{"outcome":"unknown","code":"claim_unsettled","message":"ask again with the same key"}`
	overloadedBody     = `{"outcome":"not_run","code":"overloaded","message":"no slot in time"}`
)

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}
}

func loseResponse(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// call sends one request to servers that are tried in the order of handlers.
func call(t *testing.T, r callerclient.Request, handlers ...http.HandlerFunc) (*callerapi.Answer, error) {
	t.Helper()
	var addrs []string
	for _, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addrs = append(addrs, server.Listener.Addr().String())
	}
	client, err := callerclient.New(callerclient.Config{
		Addrs:       addrs,
		SkipResolve: true,
	})
	require.NoError(t, err)
	r.Route = "answer"
	r.Workspace = "desk"
	return client.Call(t.Context(), r)
}

func requireOutcome(t *testing.T, err error, want callerapi.OutcomeOutcome, code string) {
	t.Helper()
	var got *callerclient.OutcomeError
	require.ErrorAs(t, err, &got)
	require.Equal(t, want, got.Outcome.Outcome)
	require.Equal(t, code, got.Outcome.Code)
}

func TestRequestWithoutKeyIsSentOnce(t *testing.T) {
	_, err := call(t, callerclient.Request{}, loseResponse, respond(http.StatusOK, answeredBody))
	requireOutcome(t, err, callerapi.OutcomeOutcomeUnknown, "lost_reply")
}

func TestRequestWithKeyIsRetriedOnNextAddress(t *testing.T) {
	answer, err := call(t, callerclient.Request{
		Key: "k-1",
	}, loseResponse, respond(http.StatusOK, answeredBody))
	require.NoError(t, err)
	require.Equal(t, "a roof", answer.Output)
}

func TestLaterRejectionDoesNotHideLostResponse(t *testing.T) {
	_, err := call(t, callerclient.Request{
		Key: "k-1",
	}, loseResponse, respond(http.StatusServiceUnavailable, drainingBody))
	requireOutcome(t, err, callerapi.OutcomeOutcomeUnknown, "lost_reply")
}

func TestDrainingDaemonIsSkipped(t *testing.T) {
	answer, err := call(t, callerclient.Request{}, respond(http.StatusServiceUnavailable, drainingBody), respond(http.StatusOK, answeredBody))
	require.NoError(t, err)
	require.Equal(t, "a roof", answer.Output)
}

func TestResolveSkipsStartingDaemon(t *testing.T) {
	starting := httptest.NewServer(respond(http.StatusServiceUnavailable, `{"outcome":"not_run","code":"not_ready","message":"no tables"}`))
	t.Cleanup(starting.Close)
	ready := httptest.NewServer(respond(http.StatusOK, `{"addresses":["192.0.2.1:7001"],"keep_ms":1000}`))
	t.Cleanup(ready.Close)
	client, err := callerclient.New(callerclient.Config{
		Addrs: []string{
			starting.Listener.Addr().String(),
			ready.Listener.Addr().String(),
		},
		Caller: "desk-1",
	})
	require.NoError(t, err)
	resolution, err := client.Resolve(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{"192.0.2.1:7001"}, resolution.Addresses)
}

func TestOverloadIsFinal(t *testing.T) {
	_, err := call(t, callerclient.Request{}, respond(http.StatusServiceUnavailable, overloadedBody), respond(http.StatusOK, answeredBody))
	requireOutcome(t, err, callerapi.OutcomeOutcomeNotRun, "overloaded")
}

func TestDeadlineCoversAllDaemons(t *testing.T) {
	var remaining callerapi.Call
	_, err := call(t, callerclient.Request{
		Deadline: time.Minute,
	}, respond(http.StatusServiceUnavailable, drainingBody), func(w http.ResponseWriter, r *http.Request) {
		if err := json.NewDecoder(r.Body).Decode(&remaining); err != nil {
			panic(errors.Join(http.ErrAbortHandler, err))
		}
		respond(http.StatusOK, answeredBody)(w, r)
	})
	require.NoError(t, err)
	got := remaining.DeadlineMs.Or(0)
	require.Greater(t, got, int64(0))
	require.LessOrEqual(t, got, time.Minute.Milliseconds())
}

func TestHostNamesAreRejected(t *testing.T) {
	_, err := callerclient.New(callerclient.Config{
		Addrs: []string{
			"entry-1:7001",
		},
	})
	require.ErrorContains(t, err, "use IP:port, no host name")
}

func TestUnresolvedClaimIsRetriedOnNextAddress(t *testing.T) {
	first := respond(http.StatusGatewayTimeout, claimUnsettledBody)
	second := respond(http.StatusOK, answeredBody)
	_, err := call(t, callerclient.Request{
		Key: "k",
	}, first, second)
	require.NoError(t, err)
	_, err = call(t, callerclient.Request{}, first, second)
	requireOutcome(t, err, callerapi.OutcomeOutcomeUnknown, "claim_unsettled")
}
