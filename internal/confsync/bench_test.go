package confsync_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/confsync"
	"sequoiafork/internal/fold"
	"sequoiafork/internal/wire/peerpb"
)

// BenchmarkDeliver measures the path of one record that a peer forwards, from Deliver to
// the OnApplied call that forwards it again.
func BenchmarkDeliver(b *testing.B) {
	data, err := fold.EncodeLease(fold.LeaseRequest{
		Name:   leaseName,
		Holder: "127.0.0.1:7103/0123456789abcdef",
		TTL:    time.Second,
	})
	require.NoError(b, err)
	machine := fold.New(fold.Config{})
	machine.MarkReady()
	forwarded := 0
	syncer := confsync.NewSyncer(confsync.SyncerConfig{
		Machine:   machine,
		OnApplied: func(records []*peerpb.LogRecord) { forwarded += len(records) },
	})
	for b.Loop() {
		offset := machine.NextOffset()
		syncer.Deliver([]*peerpb.LogRecord{{
			Offset: offset,
			TimeMs: int64(offset),
			Data:   data,
		}})
	}
	require.Positive(b, forwarded)
}
