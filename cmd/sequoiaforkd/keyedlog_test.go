package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"sequoiafork/internal/settings"
)

// validSettings lacks only the value of its last key.
const validSettings = `
[daemon]
data_centre = a
caller_addr = 192.0.2.10:1
operator_addr = 192.0.2.10:2
peer_addr = 192.0.2.10:3
[platform]
log_addr = 192.0.2.10:4
host_list_addr = 192.0.2.10:5
[peers]
seeds = `

// TestReloadAtStart guards against settings that changed, without a signal, after the process has read them and
// before it has looked at the time of the file for the first time.
func TestReloadAtStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "daemon.ini")
	require.NoError(t, os.WriteFile(path, []byte(validSettings+"192.0.2.1:1\n"), 0o600))
	r := &reloader{
		path:    path,
		logger:  zap.NewNop(),
		changed: make(chan settings.Settings, 1),
	}
	go r.run(nil)
	select {
	case got := <-r.changed:
		require.Equal(t, []string{"192.0.2.1:1"}, got.Peers.Seeds)
	case <-time.After(5 * settingsPollInterval):
		require.Fail(t, "the settings are not read again")
	}
}

// TestReloadKeepsNewestSettings guards against a reload that is dropped because the settings of the
// one before have not been received yet.
func TestReloadKeepsNewestSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "daemon.ini")
	r := &reloader{
		path:    path,
		logger:  zap.NewNop(),
		changed: make(chan settings.Settings, 1),
	}
	for _, seed := range []string{"192.0.2.1:1", "192.0.2.2:2", "192.0.2.3:3"} {
		require.NoError(t, os.WriteFile(path, []byte(validSettings+seed+"\n"), 0o600))
		r.reload()
	}
	require.Len(t, r.changed, 1, "settings that were reloaded and not received")
	got := <-r.changed
	require.Equal(t, []string{"192.0.2.3:3"}, got.Peers.Seeds)
	require.Empty(t, r.changed)
}
