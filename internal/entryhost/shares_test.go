package entryhost

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"sequoiafork/internal/settings"
)

// TestWorkspaceSharesSetting guards against a setting that does not reach the scheduler of the stage work, and against
// shares without the setting.
func TestWorkspaceSharesSetting(t *testing.T) {
	for value, names := range map[string]int{
		settings.Default().Admission.WorkspaceShares: 0,
		settings.SharesOff:                           0,
		settings.SharesFair:                          1,
	} {
		s := settings.Default()
		s.Daemon.PeerAddr = "127.0.0.1:0"
		s.Admission.WorkspaceShares = value
		d, err := New(Config{
			Settings:    s,
			Logger:      zap.NewNop(),
			Client:      noCaller{},
			Invoker:     &invoker{},
			DecodeTable: decodeVersion,
		})
		require.NoError(t, err)
		r := &running{
			Daemon: d,
			done:   make(chan error, 1),
		}
		r.run(t)
		r.SetTable(tableOf(1), []byte("1"), "test")
		r.SetUpstreams(upstreams())
		j := job("j")
		j.Workspace = "ws"
		submitted, err := d.scheduler.Submit(j)
		require.NoError(t, err)
		submitted.Release()
		require.Len(t, d.scheduler.LargestWorkspaces(), names, value)
	}
}
