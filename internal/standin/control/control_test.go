package control_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sequoiafork/internal/standin/control"
)

const callTimeout = 200 * time.Millisecond

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestFaults runs commands from the files in testdata: faults sets the faults,
// call makes sequential calls that share one connection while it stays open, wait
// sleeps for callTimeout, and ran prints how many calls the protocol handler has
// received since the last ran.
func TestFaults(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var ran atomic.Int64
		c := control.New(control.Config{})
		handler, err := c.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			body, _ := io.ReadAll(r.Body)
			fmt.Fprintf(w, "answer to %s", body)
		}))
		require.NoError(t, err)
		server := httptest.NewServer(handler)
		defer server.Close()
		defer server.Client().CloseIdleConnections()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "faults":
				return put(t, server, "/control/faults", d.Input)
			case "call":
				return callEach(server, strings.Fields(d.Input))
			case "wait":
				time.Sleep(callTimeout)
				return ""
			case "ran":
				return fmt.Sprintln(ran.Swap(0))
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func put(t *testing.T, server *httptest.Server, path, body string) string {
	req, err := http.NewRequest(http.MethodPut, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	client := &http.Client{
		Transport: &http.Transport{},
	}
	resp, err := client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	return fmt.Sprintln(resp.StatusCode)
}

func callEach(server *httptest.Server, inputs []string) string {
	var out strings.Builder
	for _, input := range inputs {
		fmt.Fprintln(&out, call(server, input))
	}
	return out.String()
}

func call(server *httptest.Server, input string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/invoke", strings.NewReader(input))
	if err != nil {
		return err.Error()
	}
	resp, err := server.Client().Do(req)
	if err != nil {
		return describe(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprintf("%d %q then %s", resp.StatusCode, body, describe(err))
	}
	return fmt.Sprintf("%d %q", resp.StatusCode, body)
}

func describe(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "cut"
	}
	return err.Error()
}
