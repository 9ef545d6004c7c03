package hostlist_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/standin/control"
	"sequoiafork/internal/standin/hostlist"
	"sequoiafork/internal/wire/standinapi"
)

func TestHostsAreVisibleAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &hostlist.List{
			Control: control.New(control.Config{}),
		}
		list.Control.Faults.Set(standinapi.Faults{
			LagMs: standinapi.NewOptInt64(1000),
		})
		list.Set([]standinapi.Host{
			{
				Addr:       "10.0.0.1:80",
				DataCentre: "dc1",
				Service:    "encode",
				State:      standinapi.HostStateLeaving,
			},
		})
		requireHosts(t, list, 0)
		time.Sleep(time.Second)
		requireHosts(t, list, 1)
	})
}

func requireHosts(t *testing.T, list *hostlist.List, want int) {
	t.Helper()
	got, err := list.ReadHosts(t.Context())
	require.NoError(t, err)
	require.Len(t, got.Hosts, want)
	require.EqualValues(t, want, got.Version)
}
