package entryhost

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/quarantine"
)

// TestPanicOnEvidence guards against evidence that ends the process of each daemon that has it: a panic while an end of an
// upstream is recorded, in a goroutine of its own, or while a request is admitted or has succeeded.
func TestPanicOnEvidence(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	q := &sharedQuarantine{
		Registry: nil, // Every use of it panics.
		daemon: &Daemon{
			logger: zap.NewNop(),
		},
		probed: make(map[string]*probedUpstream),
	}
	req := quarantine.Request{
		ID: "r-1",
	}
	require.NoError(t, q.Admit(req))
	q.Succeeded(req)
	ended := q.probe(forward.BrokenAttempt{
		Addr:        l.Addr().String(),
		Incarnation: "i-1",
		Request:     req,
		Began:       time.Now(),
	})
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the probe of the upstream does not end")
	}
}
