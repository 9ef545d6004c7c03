package callerclient_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/callerclient"
	"sequoiafork/internal/wire/callerapi"
)

// endless responds with start and then 64 MiB of text, far more than the clients of these tests read.
func endless(contentType, start, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_, err := w.Write([]byte(start))
		many := []byte(strings.Repeat(text, 1+(4<<10)/len(text)))
		for written := 0; err == nil && written < 64<<20; written += len(many) {
			_, err = w.Write(many)
		}
	}
}

func newLimitedClient(t *testing.T, handler http.HandlerFunc) *callerclient.Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client, err := callerclient.New(callerclient.Config{
		Addrs:            []string{server.Listener.Addr().String()},
		SkipResolve:      true,
		MaxResponseBytes: 16 << 10,
	})
	require.NoError(t, err)
	return client
}

// An answer without end must not be collected in memory, and must not count as not run.
func TestEndlessAnswer(t *testing.T) {
	client := newLimitedClient(t, endless("application/json", `{"request_id":"r-1","outcome":"answered","output":"`, "a"))
	_, err := client.Call(t.Context(), callerclient.Request{
		Route:     "answer",
		Workspace: "desk",
	})
	requireOutcome(t, err, callerapi.OutcomeOutcomeUnknown, "lost_reply")
	require.ErrorContains(t, err, "is longer than 16384 bytes")
}

// A stream without end must not go on without end, nor count as complete.
func TestEndlessStream(t *testing.T) {
	client := newLimitedClient(t, endless("text/event-stream", "", "data: {\"request_id\":\"r-1\",\"text\":\"word \"}\n\n"))
	_, err := client.Stream(t.Context(), callerclient.Request{
		Route:     "answer",
		Workspace: "desk",
	}, func(string) {})
	requireOutcome(t, err, callerapi.OutcomeOutcomeUnknown, "cut_stream")
	require.ErrorContains(t, err, "is longer than 16384 bytes")
}
