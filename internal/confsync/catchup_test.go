package confsync

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/wire/peerpb"
)

// A daemon that was restored from a snapshot must not answer a peer with the records that it applied
// before: they end before the peer's offset, so that the peer would get nothing and stay behind.
func TestRestoredDaemonServesPeersASnapshot(t *testing.T) {
	const (
		before = 3
		all    = 10
	)
	var records []*peerpb.LogRecord
	for i := range all {
		data, err := fold.EncodeClaims([]fold.Claim{
			{
				KeyHash: [32]byte{byte(i)},
				Owner:   "owner",
			},
		})
		require.NoError(t, err)
		records = append(records, &peerpb.LogRecord{
			Offset: uint64(i) + 1,
			Data:   data,
		})
	}
	current, restored, behind := newTestSyncer(), newTestSyncer(), newTestSyncer()
	current.ingest(records)
	restored.ingest(records[:before])
	snapshot, err := current.machine.Snapshot("writer")
	require.NoError(t, err)
	require.NoError(t, restored.restore(snapshot))
	restored.machine.MarkReady()
	behind.ingest(records[:before+1])

	resp, err := restored.CatchUp(t.Context(), behind.machine.NextOffset())
	require.NoError(t, err)
	require.NoError(t, behind.applyResponse(resp))
	require.Equal(t, uint64(all)+1, behind.machine.NextOffset(), "next offset after the catch-up")
}

func newTestSyncer() *Syncer {
	return NewSyncer(SyncerConfig{
		Machine: fold.New(fold.Config{}),
	})
}
