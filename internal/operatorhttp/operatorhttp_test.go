package operatorhttp_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/operatorhttp"
	"sequoiafork/internal/operatorhttp/operatorhttptest"
)

const maxBodyBytes = 1 << 10

var generatedID = regexp.MustCompile(`e-[a-z2-7]{12}`)

// TestScripts sends the requests in testdata. The command is the method, the first
// argument is the path with its query, and the input is the body. The command fault
// sets the daemon's fault.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		daemon := &operatorhttptest.Daemon{}
		api, err := operatorhttp.New(daemon.Config())
		require.NoError(t, err)
		handler := http.MaxBytesHandler(api, maxBodyBytes)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fault" {
				daemon.SetFault(d.CmdArgs[0].Key)
				return ""
			}
			return serve(t, handler, d)
		})
	})
}

func serve(t *testing.T, handler http.Handler, d *datadriven.TestData) string {
	t.Helper()
	target := d.CmdArgs[0].String()
	body := strings.ReplaceAll(d.Input, "FILLER", strings.Repeat("x", maxBodyBytes))
	r := httptest.NewRequest(d.Cmd, target, strings.NewReader(body))
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	got, err := io.ReadAll(w.Body)
	require.NoError(t, err)
	text := generatedID.ReplaceAllString(string(got), "e-GENERATED")
	return fmt.Sprintf("%d %s\n", w.Code, strings.TrimSpace(text))
}
