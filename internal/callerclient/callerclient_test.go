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
	answered  = `{"request_id":"r-1","outcome":"answered","output":"a roof","stages":[]}`
	draining  = `{"outcome":"not_run","code":"draining","message":"this host is leaving"}`
	unsettled = `{"outcome":"unknown","code":"claim_unsettled","message":"ask again with the same key"}`
	full      = `{"outcome":"not_run","code":"overloaded","message":"no slot in time"}`
)

func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}
}

func loseReply(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// call sends one request to hosts in this order.
func call(t *testing.T, r callerclient.Request, hosts ...http.HandlerFunc) (*callerapi.Answer, error) {
	t.Helper()
	var addrs []string
	for _, host := range hosts {
		server := httptest.NewServer(host)
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
	_, err := call(t, callerclient.Request{}, loseReply, reply(http.StatusOK, answered))
	requireOutcome(t, err, callerapi.OutcomeOutcomeUnknown, "lost_reply")
}

func TestRequestWithKeyGoesToTheNextHost(t *testing.T) {
	answer, err := call(t, callerclient.Request{
		Key: "k-1",
	}, loseReply, reply(http.StatusOK, answered))
	require.NoError(t, err)
	require.Equal(t, "a roof", answer.Output)
}

func TestLaterRefusalDoesNotHideALostReply(t *testing.T) {
	_, err := call(t, callerclient.Request{
		Key: "k-1",
	}, loseReply, reply(http.StatusServiceUnavailable, draining))
	requireOutcome(t, err, callerapi.OutcomeOutcomeUnknown, "lost_reply")
}

func TestLeavingHostIsPassedOver(t *testing.T) {
	answer, err := call(t, callerclient.Request{}, reply(http.StatusServiceUnavailable, draining), reply(http.StatusOK, answered))
	require.NoError(t, err)
	require.Equal(t, "a roof", answer.Output)
}

func TestHostThatStartsOrStopsIsNotAsked(t *testing.T) {
	starting := httptest.NewServer(reply(http.StatusServiceUnavailable, `{"outcome":"not_run","code":"not_ready","message":"no tables"}`))
	t.Cleanup(starting.Close)
	serving := httptest.NewServer(reply(http.StatusOK, `{"addresses":["192.0.2.1:7001"],"keep_ms":1000}`))
	t.Cleanup(serving.Close)
	client, err := callerclient.New(callerclient.Config{
		Addrs: []string{
			starting.Listener.Addr().String(),
			serving.Listener.Addr().String(),
		},
		Caller: "desk-1",
	})
	require.NoError(t, err)
	resolution, err := client.Resolve(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{"192.0.2.1:7001"}, resolution.Addresses)
}

func TestOverloadIsFinal(t *testing.T) {
	_, err := call(t, callerclient.Request{}, reply(http.StatusServiceUnavailable, full), reply(http.StatusOK, answered))
	requireOutcome(t, err, callerapi.OutcomeOutcomeNotRun, "overloaded")
}

func TestDeadlineCoversAllHosts(t *testing.T) {
	var remaining callerapi.Call
	_, err := call(t, callerclient.Request{
		Deadline: time.Minute,
	}, reply(http.StatusServiceUnavailable, draining), func(w http.ResponseWriter, r *http.Request) {
		if err := json.NewDecoder(r.Body).Decode(&remaining); err != nil {
			panic(errors.Join(http.ErrAbortHandler, err))
		}
		reply(http.StatusOK, answered)(w, r)
	})
	require.NoError(t, err)
	got := remaining.DeadlineMs.Or(0)
	require.Greater(t, got, int64(0))
	require.LessOrEqual(t, got, time.Minute.Milliseconds())
}

func TestHostNamesAreRefused(t *testing.T) {
	_, err := callerclient.New(callerclient.Config{
		Addrs: []string{
			"entry-1:7001",
		},
	})
	require.ErrorContains(t, err, "use IP:port, no host name")
}

func TestUnsettledKeyIsAskedForElsewhere(t *testing.T) {
	first := reply(http.StatusGatewayTimeout, unsettled)
	second := reply(http.StatusOK, answered)
	_, err := call(t, callerclient.Request{
		Key: "k",
	}, first, second)
	require.NoError(t, err)
	_, err = call(t, callerclient.Request{}, first, second)
	requireOutcome(t, err, callerapi.OutcomeOutcomeUnknown, "claim_unsettled")
}
