package entryhost

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/membership"
)

func members(n int, centres ...string) []membership.Member {
	var list []membership.Member
	for i := range n {
		addr := fmt.Sprintf("192.0.2.1:%d", i+1)
		list = append(list, membership.Member{
			Incarnation: addr + "/x",
			PeerAddr:    addr,
			DataCentre:  centres[i%len(centres)],
			State:       membership.Alive,
		})
	}
	return list
}

func never(string) bool { return false }

// TestOneReaderForEachDataCentre checks that daemons with the same members agree on one reader,
// that it is in their data centre, and that the next one is chosen when it dies, leaves or is
// unsuitable.
func TestOneReaderForEachDataCentre(t *testing.T) {
	list := members(40, "a", "b", "c")
	chosen := make(map[string]string)
	for _, self := range list {
		reader := chooseReader(list, self, never)
		require.Equal(t, self.DataCentre, reader.DataCentre)
		if other, ok := chosen[self.DataCentre]; ok {
			require.Equal(t, other, reader.Incarnation)
		}
		chosen[self.DataCentre] = reader.Incarnation
	}
	self := list[0]
	first := chosen["a"]
	next := chooseReader(list, self, func(incarnation string) bool { return incarnation == first })
	require.NotEqual(t, first, next.Incarnation)
	require.Equal(t, "a", next.DataCentre)
	for _, gone := range []membership.State{membership.Leaving, membership.Dead} {
		without := members(40, "a", "b", "c")
		for i := range without {
			if without[i].Incarnation == first {
				without[i].State = gone
			}
		}
		require.Equal(t, next.Incarnation, chooseReader(without, self, never).Incarnation)
	}
	require.Equal(t, self.Incarnation, chooseReader(list, self, func(string) bool { return true }).Incarnation)
}

// TestProbesOfAnOutage checks that two daemons of each data centre try an unreachable store often.
func TestProbesOfAnOutage(t *testing.T) {
	list := members(40, "a", "b", "c")
	probes := make(map[string]int)
	for _, self := range list {
		if isProbe(list, self) {
			probes[self.DataCentre]++
		}
	}
	require.Equal(t, map[string]int{
		"a": probesPerDataCentre,
		"b": probesPerDataCentre,
		"c": probesPerDataCentre,
	}, probes)
}
