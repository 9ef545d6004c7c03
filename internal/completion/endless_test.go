package completion

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/httplimit"
	"sequoiafork/internal/invoke"
	"sequoiafork/internal/pipeline"
)

// A completion without end must fail at the limit: it must not be resumed, which would collect as much
// again, and the engine must be asked to cancel it.
func TestEndlessCompletionIsNotResumed(t *testing.T) {
	var completions, cancels atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/cancel") {
			cancels.Add(1)
			return
		}
		completions.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		writeChunks(w)
	}))
	defer server.Close()
	client, err := New(invoke.Config{
		MaxResponseBytes: 64 << 10,
	})
	require.NoError(t, err)
	_, err = client.Invoke(t.Context(), pipeline.Call{
		Addr:      server.Listener.Addr().String(),
		AttemptID: "a",
		RequestID: "r",
	})
	var tooLong *httplimit.TooLongError
	require.ErrorAs(t, err, &tooLong)
	var failed *pipeline.CallError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, pipeline.MayHaveRun, failed.Execution)
	require.Equal(t, int64(1), completions.Load())
	require.Eventually(t, func() bool { return cancels.Load() == 1 }, 5*time.Second, time.Millisecond)
}

// writeChunks writes the tokens of attempt "a" until the client closes the connection.
func writeChunks(w http.ResponseWriter) {
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(w, `data: {"id":"a","token_index":%d,"choices":[{"index":0,"text":"word "}]}`+"\n\n", i); err != nil {
			return
		}
	}
}
