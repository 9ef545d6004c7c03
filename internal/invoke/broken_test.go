package invoke

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/table"
)

// TestCopiedRejection guards against a second copy of an earlier rejection that passes for that of a call which the
// upstream runs.
func TestCopiedRejection(t *testing.T) {
	const rejection = `{"code":"overloaded","message":"m"}`
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	respond := func(c net.Conn, status int, body string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	var calls atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if n == 1 || calls.Add(1) == 1 {
						respond(c, http.StatusServiceUnavailable, rejection)
					}
					if n == 1 || calls.Load() > 1 {
						respond(c, http.StatusOK, `{"attempt_id":"a2","output":"","output_bytes":0,"load":{"in_flight":0,"queued":0,"capacity":1,"age_ms":0}}`)
					}
				}
			}()
		}
	}()
	client, err := New(Config{})
	require.NoError(t, err)
	invoke := func(attempt string) error {
		_, err := client.Invoke(t.Context(), pipeline.Call{
			Addr:      l.Addr().String(),
			AttemptID: attempt,
			RequestID: "r",
		})
		return err
	}
	var failed *pipeline.CallError
	require.ErrorAs(t, invoke("a1"), &failed)
	require.Equal(t, pipeline.Refused, failed.Execution)
	require.NoError(t, invoke("a2"))
}

// TestMalformedRejection guards against a rejection in a response that is none in HTTP/1.1 and that is taken for the
// promise that the call has not run.
func TestMalformedRejection(t *testing.T) {
	const body = `{"code":"overloaded","message":"m"}`
	for _, row := range []struct {
		name string
		head string
		want pipeline.ExecutionStatus
	}{
		{
			name: "sound",
			head: "HTTP/1.1 503 Busy\r\n",
			want: pipeline.Refused,
		},
		{
			name: "status 000",
			head: "HTTP/1.1 000 Busy\r\n",
			want: pipeline.MayHaveRun,
		},
		{
			name: "blank in a name",
			head: "HTTP/1.1 503 Busy\r\nX Other: y\r\n",
			want: pipeline.MayHaveRun,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = fmt.Fprintf(c, "%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", row.head, len(body), body)
				}
			}()
			client, err := New(Config{})
			require.NoError(t, err)
			_, err = client.Invoke(t.Context(), pipeline.Call{
				Addr:      l.Addr().String(),
				AttemptID: "a",
				RequestID: "r",
				Stage: table.Stage{
					NonIdempotent: true,
				},
			})
			var failed *pipeline.CallError
			require.ErrorAs(t, err, &failed)
			require.Equal(t, row.want, failed.Execution, err)
		})
	}
}
