package hostlist

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/upstream"
)

// TestRun polls a list that changes, then fails: the last hosts stay.
func TestRun(t *testing.T) {
	var body atomic.Value
	body.Store(`{"version":1,"hosts":[
		{"addr":"127.0.0.1:1","data_centre":"a","service":"encode","state":"live"},
		{"addr":"host.name:1","data_centre":"a","service":"encode","state":"live"},
		{"addr":"127.0.0.1:9","data_centre":"a","service":"sequoiafork","state":"live"}]}`)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if body.Load() == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(body.Load().(string)))
	}))
	defer srv.Close()
	got := make(chan []upstream.Host, 16)
	l, err := New(Config{
		Addr:     srv.Listener.Addr().String(),
		Interval: 10 * time.Millisecond,
		OnHosts: func(hosts []upstream.Host) {
			got <- hosts
		},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- l.Run(ctx)
	}()

	hosts := <-got
	require.Len(t, hosts, 2, "an address that is a host name is left out")
	require.Equal(t, []string{"127.0.0.1:9"}, Seeds(hosts))
	body.Store(`{"version":2,"hosts":[{"addr":"127.0.0.1:1","data_centre":"a","service":"encode","state":"leaving"}]}`)
	require.Equal(t, upstream.Leaving, (<-got)[0].State)
	body.Store("")
	require.Eventually(t, func() bool {
		return l.Status().Problem != ""
	}, 10*time.Second, 5*time.Millisecond)
	require.Equal(t, 1, l.Status().Hosts)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	require.Empty(t, got, "a failed or unchanged poll hands nothing on")
}

func TestNewRefusesHostName(t *testing.T) {
	_, err := New(Config{
		Addr: "localhost:80",
	})
	var addr *AddrError
	require.True(t, errors.As(err, &addr), "%v is an *AddrError", err)
}
