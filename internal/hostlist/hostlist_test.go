package hostlist

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/upstream"
	"sequoiafork/internal/wire/platformapi"
)

// TestRun polls a list that changes and then can't be read: the last hosts stay in effect.
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
		Addr:           srv.Listener.Addr().String(),
		Interval:       10 * time.Millisecond,
		BytesPerSecond: 1 << 20,
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
	require.Empty(t, got, "OnHosts is not called after a failed poll or for an unchanged list")
}

// TestOddHosts guards against an entry of another writer that keeps daemons from reading the list, or that names a host.
func TestOddHosts(t *testing.T) {
	const good = `{"addr":"127.0.0.1:1","data_centre":"a","service":"encode","state":"live"}`
	for name, odd := range map[string]string{
		"nested":       strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
		"number":       `{"addr":"127.0.0.1:2","data_centre":1e999,"service":"encode","state":"live"}`,
		"port":         `{"addr":"127.0.0.1:65536","data_centre":"a","service":"encode","state":"live"}`,
		"no port":      `{"addr":"127.0.0.1:0","data_centre":"a","service":"encode","state":"live"}`,
		"any address":  `{"addr":"0.0.0.0:2","data_centre":"a","service":"encode","state":"live"}`,
		"bytes":        "{\"addr\":\"127.0.0.1:2\",\"data_centre\":\"\xff\",\"service\":\"encode\",\"state\":\"live\"}",
		"state":        `{"addr":"127.0.0.1:2","data_centre":"a","service":"encode","state":"resting"}`,
		"no state":     `{"addr":"127.0.0.1:2","data_centre":"a","service":"encode"}`,
		"no service":   `{"addr":"127.0.0.1:2","data_centre":"a","service":"","state":"live"}`,
		"long service": `{"addr":"127.0.0.1:2","data_centre":"a","service":"` + strings.Repeat("s", 300) + `","state":"live"}`,
		"null":         `null`,
		"text":         `"127.0.0.1:2"`,
	} {
		var list platformapi.HostList
		require.NoError(t, list.UnmarshalJSON([]byte(`{"version":1,"hosts":[`+odd+`,`+good+`]}`)), name)
		hosts := convertHosts(&list)
		require.Len(t, hosts, 1, name)
		require.Equal(t, "127.0.0.1:1", hosts[0].Addr, name)
	}
}

// FuzzHosts guards against a list of hosts that ends the daemon, or that names an address to which nothing can be sent.
func FuzzHosts(f *testing.F) {
	f.Add([]byte(`{"version":1,"hosts":[{"addr":"127.0.0.1:0","data_centre":"a","service":"s","state":"live"},7,null,[[]]]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var list platformapi.HostList
		if list.UnmarshalJSON(raw) != nil {
			return
		}
		for _, h := range convertHosts(&list) {
			require.NoError(t, upstream.CheckAddr(h.Addr))
			require.NotEmpty(t, h.Service)
		}
	})
}

func TestNewRejectsHostName(t *testing.T) {
	_, err := New(Config{
		Addr: "localhost:80",
	})
	var addr *AddrError
	require.True(t, errors.As(err, &addr), "%v is an *AddrError", err)
}

func TestPollDelayGrowsWithList(t *testing.T) {
	l, err := New(Config{
		Addr: "127.0.0.1:1",
	})
	require.NoError(t, err)
	require.InDelta(t, DefaultInterval, l.pollDelay(3000), float64(DefaultInterval)/19)
	require.InDelta(t, 40*time.Second, l.pollDelay(40*DefaultBytesPerSecond), float64(3*time.Second))
}

// A list without end must be an error, and must not delay the next poll as a list of that length would.
func TestEndlessList(t *testing.T) {
	var polls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if polls.Add(1) > 1 {
			_, _ = w.Write([]byte(`{"version":1,"hosts":[]}`))
			return
		}
		text := make([]byte, 4<<10)
		for written := 0; written < 64<<20; written += len(text) {
			if _, err := w.Write(text); err != nil {
				return
			}
		}
	}))
	defer srv.Close()
	l, err := New(Config{
		Addr:         srv.Listener.Addr().String(),
		Interval:     time.Millisecond,
		MaxListBytes: 128 << 10,
		RetryDelay:   10 * time.Millisecond,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- l.Run(ctx)
	}()
	require.Eventually(t, func() bool { return l.Status().Problem != "" }, 10*time.Second, time.Millisecond)
	require.Contains(t, l.Status().Problem, "is longer than 131072 bytes")
	require.Eventually(t, func() bool { return l.Status().Version == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}

// BenchmarkPoll polls lists of several sizes over loopback.
func BenchmarkPoll(b *testing.B) {
	for _, n := range []int{50, 250, 500, 970} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			list := platformapi.HostList{
				Version: 1,
			}
			for i := range n {
				host, err := (&platformapi.Host{
					Addr:       fmt.Sprintf("10.%d.%d.%d:7000", i%10, i/250, i%250),
					DataCentre: fmt.Sprintf("region-%d/dc-%d", i%3, i%10),
					Service:    fmt.Sprintf("service-%d", i%9),
					State:      platformapi.HostStateLive,
				}).MarshalJSON()
				require.NoError(b, err)
				list.Hosts = append(list.Hosts, host)
			}
			data, err := list.MarshalJSON()
			require.NoError(b, err)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write(data)
			}))
			defer srv.Close()
			l, err := New(Config{
				Addr: srv.Listener.Addr().String(),
			})
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				l.poll(b.Context())
			}
			require.Equal(b, n, l.Status().Hosts)
			b.ReportMetric(float64(len(data)), "body_B")
		})
	}
}
