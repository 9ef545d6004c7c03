package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"sequoiafork/internal/settings"
)

// newIdleDaemon returns a daemon whose addresses are bound and which does not run.
func newIdleDaemon(t *testing.T) *Daemon {
	t.Helper()
	s := settings.Default()
	s.Daemon = settings.Daemon{
		DataCentre:   "dc-1",
		CallerAddr:   "127.0.0.1:0",
		OperatorAddr: "127.0.0.1:0",
		PeerAddr:     "127.0.0.1:0",
	}
	s.Platform.LogAddr = "127.0.0.1:1"
	s.Platform.HostListAddr = "127.0.0.1:1"
	d, err := New(Config{
		Settings: s,
		Logger:   zap.NewNop(),
	})
	require.NoError(t, err)
	t.Cleanup(d.closeListeners)
	return d
}

func get(t *testing.T, d *Daemon, path string) *httptest.ResponseRecorder {
	t.Helper()
	handler, err := d.operatorHandler()
	require.NoError(t, err)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

// Health, metrics and the web page work before the daemon has any tables; readiness and
// the API report that it is not ready.
func TestOperatorHandlerWithoutTables(t *testing.T) {
	d := newIdleDaemon(t)
	require.Equal(t, http.StatusOK, get(t, d, "/healthz").Code)
	require.Equal(t, http.StatusServiceUnavailable, get(t, d, "/readyz").Code)
	require.Equal(t, http.StatusServiceUnavailable, get(t, d, "/v1/pools").Code)
	require.Equal(t, http.StatusSeeOther, get(t, d, "/").Code)

	page := get(t, d, "/page/")
	require.Equal(t, http.StatusOK, page.Code)
	require.Contains(t, page.Body.String(), "not ready")

	metrics := get(t, d, "/metrics").Body.String()
	for _, name := range []string{
		"sequoiafork_ready 0",
		"sequoiafork_draining 0",
		"sequoiafork_in_flight 0",
		"sequoiafork_config_revision 0",
		"sequoiafork_config_age_seconds ",
		`sequoiafork_daemons{state="alive"} 1`,
	} {
		require.Contains(t, metrics, name)
	}
}

var snakeCase = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// All keys of the dump, including those of nested types, are in snake case.
func TestDumpIsInSnakeCase(t *testing.T) {
	var dump any
	require.NoError(t, json.Unmarshal(get(t, newIdleDaemon(t), "/v1/dump").Body.Bytes(), &dump))
	requireSnakeCase(t, dump)
}

// requireSnakeCase checks the keys of value and of everything nested in it.
func requireSnakeCase(t *testing.T, value any) {
	t.Helper()
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			require.Regexp(t, snakeCase, key)
			requireSnakeCase(t, inner)
		}
	case []any:
		for _, inner := range v {
			requireSnakeCase(t, inner)
		}
	}
}
