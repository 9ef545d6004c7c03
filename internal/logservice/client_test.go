package logservice_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/httplimit"
	"sequoiafork/internal/logservice"
)

func newClient(t *testing.T, addr string, set *metrics.Set) *logservice.Client {
	t.Helper()
	c, err := logservice.New(logservice.Config{
		Addr:             addr,
		Stream:           "s",
		Timeout:          200 * time.Millisecond,
		AppendsPerSecond: 1,
		Metrics:          set,
	})
	require.NoError(t, err)
	return c
}

// startServer starts a server with the handler and returns its address.
func startServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func TestAppendErrors(t *testing.T) {
	hangUp := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		code    string
	}{
		{
			name:    "rate limit",
			handler: respond(http.StatusTooManyRequests, `{"code":"rate_limited","message":"slow down"}`),
			code:    "rate_limited",
		},
		{
			name:    "outage",
			handler: respond(http.StatusServiceUnavailable, `{"code":"unavailable","message":"down"}`),
			code:    "unavailable",
		},
		{
			name:    "another code",
			handler: respond(http.StatusInternalServerError, `{"code":"internal","message":"?"}`),
		},
		{
			name:    "no JSON",
			handler: respond(http.StatusBadGateway, `bad gateway`),
		},
		{
			name:    "truncated response",
			handler: respond(http.StatusOK, `{"offset": 7`),
		},
		{
			name:    "connection closed",
			handler: hangUp,
		},
		{
			name:    "no response",
			handler: hang,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := newClient(t, startServer(t, tc.handler), metrics.NewSet()).Append(t.Context(), []byte("x"))
			if tc.code == "" {
				var unknown *logservice.UnknownOutcomeError
				require.ErrorAs(t, err, &unknown)
				return
			}
			var refused *logservice.RejectedError
			require.ErrorAs(t, err, &refused)
			require.Equal(t, tc.code, refused.Code)
		})
	}
}

func TestAppendUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = newClient(t, addr, metrics.NewSet()).Append(t.Context(), nil)
	var refused *logservice.RejectedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, logservice.CodeUnreachable, refused.Code)
}

func TestAppendRateLimit(t *testing.T) {
	set := metrics.NewSet()
	c := newClient(t, startServer(t, respond(http.StatusOK, `{"offset": 7, "time_ms": 1}`)), set)
	offset, err := c.Append(t.Context(), []byte("x"))
	require.NoError(t, err)
	require.EqualValues(t, 7, offset)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err = c.Append(ctx, []byte("x"))
	var refused *logservice.RejectedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, logservice.CodeOverBudget, refused.Code)
	_, err = c.AppendEdit(t.Context(), []byte("x"))
	require.NoError(t, err, "an edit is not rate limited")
	require.EqualValues(t, 1, set.GetOrCreateCounter(`sequoiafork_log_appends_total{origin="system"}`).Get())
	require.EqualValues(t, 1, set.GetOrCreateCounter(`sequoiafork_log_appends_total{origin="operator"}`).Get())
}

func TestRead(t *testing.T) {
	c := newClient(t, startServer(t, respond(http.StatusGone, `{"code":"offset_expired","message":"gone","first_offset":9}`)), metrics.NewSet())
	_, err := c.Read(t.Context(), 1, 0, 0)
	var expired *logservice.OffsetExpiredError
	require.ErrorAs(t, err, &expired)
	require.EqualValues(t, 9, expired.FirstOffset)

	c = newClient(t, startServer(t, respond(http.StatusOK, `{"records":[{"offset":3,"time_ms":5,"data":"eA=="}],"first_offset":2,"end_offset":4}`)), metrics.NewSet())
	batch, err := c.Read(t.Context(), 3, 0, 0)
	require.NoError(t, err)
	require.Equal(t, logservice.Batch{
		Records: []logservice.Record{{
			Offset: 3,
			TimeMs: 5,
			Data:   []byte("x"),
		}},
		FirstOffset: 2,
		EndOffset:   4,
	}, batch)
}

// respondWithoutEnd responds with 64 MiB of white space, which is far more than the clients of these
// tests read.
func respondWithoutEnd(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	text := bytes.Repeat([]byte(" "), 4<<10)
	for written := 0; written < 64<<20; written += len(text) {
		if _, err := w.Write(text); err != nil {
			return
		}
	}
}

// A response without end must not be collected in memory. An append that gets one may have been made.
func TestEndlessResponses(t *testing.T) {
	c, err := logservice.New(logservice.Config{
		Addr:             startServer(t, respondWithoutEnd),
		Stream:           "s",
		MaxResponseBytes: 1 << 10,
		Metrics:          metrics.NewSet(),
	})
	require.NoError(t, err)
	_, err = c.Read(t.Context(), 0, 0, 0)
	var tooLong *httplimit.TooLongError
	require.ErrorAs(t, err, &tooLong)
	_, err = c.Append(t.Context(), []byte("x"))
	var unknown *logservice.UnknownOutcomeError
	require.ErrorAs(t, err, &unknown)
	require.ErrorAs(t, err, &tooLong)
}

func TestNewRejectsHostNames(t *testing.T) {
	_, err := logservice.New(logservice.Config{
		Addr:   "localhost:7000",
		Stream: "s",
	})
	require.ErrorContains(t, err, "not an IP and port")
}
