package panics

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func observed() (*zap.Logger, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	return zap.New(core), logs
}

// TestValue guards against a panic that is hidden, and against results and errors that are lost.
func TestValue(t *testing.T) {
	logger, logs := observed()
	counter := metrics.GetOrCreateCounter(`sequoiafork_panics_total{where="test"}`)
	n, err := Value(logger, "test", func() (int, error) {
		var list []int
		return list[len(list)], nil
	})
	require.Zero(t, n)
	var panicked *Error
	require.ErrorAs(t, err, &panicked)
	require.Equal(t, "test", panicked.Where)
	require.EqualValues(t, 1, counter.Get())
	entry := logs.All()[0]
	require.Equal(t, "recovered from a panic", entry.Message)
	require.Contains(t, entry.ContextMap()["stack"], "TestValue.func1")
	require.Contains(t, entry.ContextMap()["value"], "out of range")

	failure := errors.New("failure")
	n, err = Value(nil, "test", func() (int, error) { return 3, failure })
	require.Equal(t, 3, n)
	require.Equal(t, failure, err)
	require.NoError(t, Call(nil, "test", func() error { return nil }))
	require.Error(t, Call(nil, "test", func() error { panic("no logger") }))
}

// TestHandler guards against a response that was begun before a panic and reaches the caller as a complete one.
func TestHandler(t *testing.T) {
	logger, logs := observed()
	server := httptest.NewServer(Handler(logger, "test_http", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/panic":
			_, _ = w.Write([]byte("begun"))
			panic("fault")
		case "/abort":
			panic(http.ErrAbortHandler)
		}
	})))
	defer server.Close()
	for path, logged := range map[string]int{
		"/panic": 1,
		"/abort": 0,
		"/":      0,
	} {
		// A client may repeat a request without a body by itself.
		res, err := http.Post(server.URL+path, "text/plain", strings.NewReader("body"))
		require.Equal(t, path != "/", err != nil, path)
		if err == nil {
			require.NoError(t, res.Body.Close())
		}
		require.Len(t, logs.TakeAll(), logged, path)
	}
}
