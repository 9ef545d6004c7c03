package invoke

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/httplimit"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/table"
)

// A response that is too long must be an error, and the call one that may have run: whole, without end,
// and with the status of a rejection.
func TestResponseTooLong(t *testing.T) {
	const limit = 1 << 10
	for _, c := range []struct {
		name          string
		status        int
		endless       bool
		nonIdempotent bool
	}{
		{
			name:   "long",
			status: http.StatusOK,
		},
		{
			name:    "endless",
			status:  http.StatusOK,
			endless: true,
		},
		{
			name:          "endless, not idempotent",
			status:        http.StatusOK,
			endless:       true,
			nonIdempotent: true,
		},
		{
			name:    "endless rejection",
			status:  http.StatusServiceUnavailable,
			endless: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				w.WriteHeader(c.status)
				writeOutput(w, c.endless)
			}))
			defer server.Close()
			client, err := New(Config{
				MaxResponseBytes: limit,
			})
			require.NoError(t, err)
			began := time.Now()
			_, err = client.Invoke(t.Context(), pipeline.Call{
				Addr:      server.Listener.Addr().String(),
				AttemptID: "a",
				RequestID: "r",
				Stage: table.Stage{
					NonIdempotent: c.nonIdempotent,
				},
			})
			var failed *pipeline.CallError
			require.ErrorAs(t, err, &failed)
			require.Equal(t, pipeline.MayHaveRun, failed.Execution)
			var tooLong *httplimit.TooLongError
			require.ErrorAs(t, err, &tooLong)
			require.Equal(t, int64(limit), tooLong.Limit)
			require.Less(t, time.Since(began), 5*time.Second)
		})
	}
}

// endlessBytes is how much is sent of an output that has no end.
const endlessBytes = 64 << 20

// writeOutput writes the result of attempt "a" with an output of 4 KiB, or one that has no end.
func writeOutput(w io.Writer, endless bool) {
	output := strings.Repeat("o", 4<<10)
	_, err := io.WriteString(w, `{"attempt_id":"a","load":{"in_flight":0,"queued":0,"capacity":1,"age_ms":0},"output_bytes":4096,"output":"`)
	if !endless {
		_, _ = io.WriteString(w, output+`"}`)
		return
	}
	for written := 0; err == nil && written < endlessBytes; written += len(output) {
		_, err = io.WriteString(w, output)
	}
}
