package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/era"
	"sequoiafork/internal/topic"
)

// topicResponse is what a testNode responds to a peer that reads a topic.
type topicResponse struct {
	from era.Position // of the request
	page topic.Page
	err  error

	snapshot topic.Snapshot
}

// ReadTopic implements TopicReader.
func (n *testNode) ReadTopic(_ context.Context, _ string, from era.Position, _ time.Duration) (topic.Page, error) {
	n.topic.from = from
	return n.topic.page, n.topic.err
}

// ReadNewest implements TopicReader.
func (n *testNode) ReadNewest(string) (topic.Snapshot, error) { return n.topic.snapshot, n.topic.err }

// position returns a position of the fifth era.
func position(offset int64) era.Position {
	return era.Position{
		Era:    5,
		Offset: offset,
	}
}

// TestReadTopic checks that a peer gets records, the age of the reader's contact with the store and
// the reason why there are none as the server has them.
func TestReadTopic(t *testing.T) {
	nodes := startNodes(t, 2)
	read := func(r topicResponse) (topic.Page, error) {
		nodes[1].topic = r
		return nodes[0].node.ReadTopic(t.Context(), nodes[1].table.Self(), "t", position(7), 0)
	}
	want := topic.Page{
		Records: []topic.Record{
			{
				Key:   "set\xff", // Keys of other writers need not be text.
				Value: []byte("v"),
				At:    position(7),
			},
			{
				Key: "removed",
				At:  position(8),
			},
			{
				Key:       "unchanged",
				At:        position(9),
				Unchanged: true,
			},
		},
		ReachableFor: 1234 * time.Millisecond,
	}
	page, err := read(topicResponse{
		page: want,
	})
	require.NoError(t, err)
	require.Equal(t, want, page)
	require.Equal(t, position(7), nodes[1].topic.from)

	var notCurrent *topic.NotCurrentError
	_, err = read(topicResponse{
		err: &topic.NotCurrentError{
			Topic:  "t",
			Reader: "192.0.2.1:7000/1",
		},
	})
	require.ErrorAs(t, err, &notCurrent)
	require.Equal(t, "192.0.2.1:7000/1", notCurrent.Reader)

	var expired *topic.ExpiredError
	_, err = read(topicResponse{
		err: &topic.ExpiredError{
			Topic: "t",
			From:  position(7),
		},
	})
	require.ErrorAs(t, err, &expired)
}

// TestReadNewest checks that a peer gets the newest records with their positions.
func TestReadNewest(t *testing.T) {
	nodes := startNodes(t, 2)
	want := topic.Snapshot{
		Records: []topic.Record{
			{
				Key:   "a\xff",
				Value: []byte("v"),
				At:    position(3),
			},
			{
				Key:   "empty",
				Value: []byte{},
				At:    position(4),
			},
		},
		End: position(9),
	}
	nodes[1].topic.snapshot = want
	got, err := nodes[0].node.ReadNewest(t.Context(), nodes[1].table.Self(), "t")
	require.NoError(t, err)
	require.Equal(t, want, got)

	nodes[1].topic.err = &topic.NotCurrentError{}
	_, err = nodes[0].node.ReadNewest(t.Context(), nodes[1].table.Self(), "t")
	var call *CallError
	require.ErrorAs(t, err, &call)
}
