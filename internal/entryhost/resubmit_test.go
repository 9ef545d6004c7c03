package entryhost

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiafork/internal/ident"
	"sequoiafork/internal/settings"
	"sequoiafork/internal/stageowner"
	"sequoiafork/internal/wire/peerpb"
)

// droppingOwner accepts each job and then drops the call.
type droppingOwner struct {
	peerpb.UnimplementedPeerServer
	mu    sync.Mutex
	times []time.Time
}

// StageWork implements peerpb.PeerServer.
func (o *droppingOwner) StageWork(st grpc.BidiStreamingServer[peerpb.StageWorkRequest, peerpb.StageWorkResponse]) error {
	if _, err := st.Recv(); err != nil {
		return err
	}
	o.mu.Lock()
	o.times = append(o.times, time.Now())
	o.mu.Unlock()
	if err := st.Send(&peerpb.StageWorkResponse{
		Taken: true,
	}); err != nil {
		return err
	}
	return status.Error(codes.Unavailable, "dropped")
}

// serveOwner serves an owner at an address that the daemon takes for that of the owner.
func serveOwner(t *testing.T, d *Daemon, o *droppingOwner) string {
	t.Helper()
	for {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		if ident.Hash(lis.Addr().String()) >= ident.Hash(d.PeerAddr()) {
			require.NoError(t, lis.Close())
			continue
		}
		server := grpc.NewServer()
		peerpb.RegisterPeerServer(server, o)
		go func() { _ = server.Serve(lis) }()
		t.Cleanup(server.Stop)
		return lis.Addr().String()
	}
}

// TestLostJobIsSubmittedAgainWithDelays guards against a job that is submitted again and again without a delay to an
// owner that accepts it and drops the call.
func TestLostJobIsSubmittedAgainWithDelays(t *testing.T) {
	s := settings.Default()
	s.Daemon.PeerAddr = "127.0.0.1:0"
	s.Daemon.CallerAddr = "192.0.2.1:1"
	d, err := New(Config{
		Settings:    s,
		Logger:      zap.NewNop(),
		Client:      noCaller{},
		Invoker:     &invoker{},
		DecodeTable: decodeVersion,
	})
	require.NoError(t, err)
	owner := &droppingOwner{}
	d.submitter.addPlatformAddresses(stageowner.Addresses([]string{serveOwner(t, d, owner)}))
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	submitted, err := d.submitter.Submit(ctx, job("r"))
	require.NoError(t, err)
	_, err = submitted.Wait(ctx)
	require.Error(t, err)
	submitted.Release()
	owner.mu.Lock()
	defer owner.mu.Unlock()
	require.Greater(t, len(owner.times), 3)
	t.Logf("%d submissions, the first four within %v", len(owner.times), owner.times[3].Sub(owner.times[0]))
	for i := 2; i < len(owner.times); i++ {
		require.GreaterOrEqual(t, owner.times[i].Sub(owner.times[i-1]), resubmitDelay(i), "submission %d", i)
	}
}

// TestResubmitDelay guards against a delay of the first submission after a lost connection, which is the common case,
// and against delays without a limit.
func TestResubmitDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delays []time.Duration
		for number := 1; number <= 8; number++ {
			began := time.Now()
			sleep(t.Context(), resubmitDelay(number))
			delays = append(delays, time.Since(began)/time.Millisecond)
		}
		require.Equal(t, []time.Duration{0, 5, 10, 20, 40, 80, 100, 100}, delays)
	})
}
