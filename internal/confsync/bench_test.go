package confsync_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/confsync"
	"sequoiafork/internal/fold"
	"sequoiafork/internal/wire/peerpb"
)

// BenchmarkDeliver measures one record that a peer passes on, from Deliver to the
// call that passes it on again.
func BenchmarkDeliver(b *testing.B) {
	data, err := fold.EncodeLease(fold.LeaseRequest{
		Name:   leaseName,
		Holder: "127.0.0.1:7103/0123456789abcdef",
		TTL:    time.Second,
	})
	require.NoError(b, err)
	machine := fold.New(fold.Config{})
	machine.MarkReady()
	passed := 0
	r := confsync.NewSyncer(confsync.SyncerConfig{
		Machine:   machine,
		OnRecords: func(records []*peerpb.LogRecord) { passed += len(records) },
	})
	for b.Loop() {
		offset := machine.NextOffset()
		r.Deliver([]*peerpb.LogRecord{{
			Offset: offset,
			TimeMs: int64(offset),
			Data:   data,
		}})
	}
	require.Positive(b, passed)
}
