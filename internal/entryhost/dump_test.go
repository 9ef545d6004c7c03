package entryhost

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDump checks that a dump tells the state by which operators find a fault: who owns the stage
// work, who reads the topics, and what each stage upstream holds.
func TestDump(t *testing.T) {
	d := start(t, &invoker{})
	var b bytes.Buffer
	require.NoError(t, d.WriteDump(&b))
	require.Equal(t, 1, bytes.Count(b.Bytes(), []byte("\n")), "lines")
	var got dump
	require.NoError(t, json.Unmarshal(b.Bytes(), &got))
	self := d.members.Self().Incarnation
	require.Equal(t, self, got.Incarnation)
	require.Equal(t, self, got.TopicReader)
	require.Equal(t, uint64(1), got.ConfigVersion)
	require.True(t, got.Ready)
	require.Len(t, got.StageServices, 1)
	require.Equal(t, "i-1", got.StageServices[0].Upstreams[0].Incarnation)
}
