package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/streamorigin"
)

// TestOrigins checks that a peer gets the origin of a stream, and the versions that were seen, as the server has them.
func TestOrigins(t *testing.T) {
	nodes := startNodes(t, 2)
	peer := nodes[1].table.Self()
	origin := streamorigin.Origin{
		Service: "s",
		Version: "v2",
	}
	nodes[1].origins.ObserveUpstreams([]streamorigin.Origin{
		origin,
		origin.WithVersion("v1"),
	})
	require.NoError(t, nodes[0].node.AnnounceOrigins(t.Context(), peer, []streamorigin.Entry{
		{
			RequestID: "r1",
			Origin:    origin,
			Age:       time.Second,
		},
		{
			RequestID: "no text\xff", // It must not keep the others from being announced.
			Origin:    origin,
		},
		{
			RequestID: "old",
			Origin:    origin,
			Age:       time.Hour,
		},
	}))
	for _, c := range []struct {
		id   string
		want streamorigin.Answer
	}{
		{
			id: "r1",
			want: streamorigin.Answer{
				Known:    true,
				Origin:   origin,
				Versions: []string{"v1", "v2"},
			},
		},
		{
			id: "old",
			want: streamorigin.Answer{
				Versions: []string{"v1", "v2"},
			},
		},
		{
			id: "other",
			want: streamorigin.Answer{
				Versions: []string{"v1", "v2"},
			},
		},
	} {
		got, err := nodes[0].node.QueryOrigin(t.Context(), peer, c.id, "s")
		require.NoError(t, err)
		require.Equal(t, c.want, got, c.id)
	}
}
