package confsync

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/peerpb"
)

// An edit whose ID was used for another change of the same row must not get the outcome of that change.
func TestLookupEditRefusesAnotherChange(t *testing.T) {
	edit := func(concurrency int) table.Edit {
		return table.Edit{
			ID: "e-1",
			Change: table.SetPool{
				Pool: table.Pool{
					Name:        "rr",
					Kind:        table.KindReranker,
					Service:     "rerank",
					Concurrency: concurrency,
				},
			},
		}
	}
	syncer := newTestSyncer()
	data, err := fold.EncodeEdit(edit(8))
	require.NoError(t, err)
	syncer.ingest([]*peerpb.LogRecord{
		{
			Offset: syncer.machine.NextOffset(),
			Data:   data,
		},
	})
	editor := NewEditor(EditorConfig{
		Machine: syncer.machine,
	})
	require.Equal(t, Accepted, editor.LookupEdit(edit(8)).State)
	require.Equal(t, Refused, editor.LookupEdit(edit(16)).State)
	unread := edit(8)
	unread.ID = "e-2"
	require.Equal(t, NotFound, editor.LookupEdit(unread).State)
}
