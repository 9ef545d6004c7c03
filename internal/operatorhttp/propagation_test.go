package operatorhttp_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/operatorhttp"
	"sequoiafork/internal/operatorhttp/operatorhttptest"
	"sequoiafork/internal/wire/operatorapi"
)

// laggingDaemon lists one daemon whose revision the test sets.
type laggingDaemon struct {
	operatorhttptest.Daemon
	revision atomic.Int64
}

func (l *laggingDaemon) Daemons() []operatorapi.Daemon {
	return []operatorapi.Daemon{
		{
			State:    "alive",
			Revision: l.revision.Load(),
		},
	}
}

func TestEditWaitsUntilRevisionIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &laggingDaemon{}
		config := hosts.Config()
		config.Hosts = hosts
		config.PropagationTimeout = time.Second
		handler := operatorhttp.NewHandler(config)
		time.AfterFunc(490*time.Millisecond, func() { hosts.revision.Store(1) })

		begin := time.Now()
		got, err := handler.SetPool(t.Context(), &operatorapi.PoolSpec{
			Kind:        "encoder",
			Service:     "enc",
			Concurrency: 1,
		}, operatorapi.SetPoolParams{
			Name: "enc",
		})
		require.NoError(t, err)
		require.Equal(t, operatorapi.NewOptInt(1), got.InForce)
		require.Equal(t, 500*time.Millisecond, time.Since(begin))
	})
}
