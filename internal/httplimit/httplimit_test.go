package httplimit

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/bytequota"
)

// TestScripts reads responses with a limit of 10 bytes. "get" has the argument bytes, or endless for
// a body without end, and chunked for one without a length.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/scripts", func(t *testing.T, d *datadriven.TestData) string {
		closed := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(closed)
			writeBody(t, d, w)
		}))
		defer server.Close()
		addr := server.Listener.Addr().String()
		client := &http.Client{
			Transport: New(Config{
				Base:         &http.Transport{},
				MaxBodyBytes: 10,
			}),
		}
		res, err := client.Get(server.URL + "/a?b=c")
		require.NoError(t, err)
		data, err := io.ReadAll(res.Body)
		_, _ = io.Copy(io.Discard, res.Body) // as generated clients do
		require.NoError(t, res.Body.Close())
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Error("the response goes on")
		}
		return fmt.Sprintf("%d bytes, error: %s\n", len(data), strings.ReplaceAll(fmt.Sprint(err), addr, "ADDR"))
	})
}

func writeBody(t *testing.T, d *datadriven.TestData, w http.ResponseWriter) {
	if d.HasArg("endless") {
		text := []byte(strings.Repeat("a", 4<<10))
		for {
			if _, err := w.Write(text); err != nil {
				return
			}
		}
	}
	var size int
	d.ScanArgs(t, "bytes", &size)
	if d.HasArg("chunked") {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, strings.Repeat("a", size))
}

// Bodies without end that are read side by side must not use up the memory, and one that was closed
// must return its part.
func TestBodiesShareMemory(t *testing.T) {
	const (
		bodies      = 8
		memoryBytes = 64 << 10
		sentBytes   = 1 << 20
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, sentBytes))
	}))
	defer server.Close()
	memory := bytequota.New(bytequota.Config{
		Bytes: memoryBytes,
	})
	client := &http.Client{
		Transport: New(Config{
			Base:         &http.Transport{},
			MaxBodyBytes: sentBytes,
			Memory:       memory,
		}),
	}
	var open []*http.Response
	total := 0
	for range bodies {
		res, err := client.Get(server.URL)
		require.NoError(t, err)
		open = append(open, res)
		data, err := io.ReadAll(res.Body)
		var exceeded *bytequota.ExceededError
		require.ErrorAs(t, err, &exceeded)
		total += len(data)
	}
	require.LessOrEqual(t, total, memoryBytes+bodies*bytequota.DefaultMinimumBytes)
	for _, res := range open {
		require.NoError(t, res.Body.Close())
	}
	require.Zero(t, memory.Used())
}
