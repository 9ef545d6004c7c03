package invoke

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/table"
)

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
