package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/hostcapacity"
)

// TestResolveLeavesOutSmallHosts guards against callers that are spread over hosts of very different sizes alike, so
// that most requests run on hosts that take several times as long. Small hosts are named when the others are lost.
func TestResolveLeavesOutSmallHosts(t *testing.T) {
	const caller = "h.example"
	member := func(i int, milliCores uint32) Member {
		return Member{
			Incarnation: fmt.Sprintf("192.0.2.%d:1/a", i),
			PeerAddr:    fmt.Sprintf("192.0.2.%d:1", i),
			CallerAddr:  fmt.Sprintf("192.0.2.%d:2", i),
			DataCentre:  "a",
			State:       Alive,
			Revision:    1,
			Capacity: hostcapacity.Capacity{
				MilliCores: milliCores,
			},
		}
	}
	table := New(Config{
		Self:       member(1, 800),
		ResolveMax: 64,
	})
	for i := 2; i <= 4; i++ {
		table.put(member(i, 480))
	}
	for i := 5; i <= 12; i++ {
		table.put(member(i, 144))
	}
	addrs, _ := table.Resolve(caller, "a")
	require.ElementsMatch(t, []string{"192.0.2.1:2", "192.0.2.2:2", "192.0.2.3:2", "192.0.2.4:2"}, addrs)

	for i := 2; i <= 4; i++ {
		table.put(member(i, 480).WithState(Dead))
	}
	addrs, _ = table.Resolve(caller, "a")
	require.Len(t, addrs, 9, "the small hosts are needed beside a single large one")
}
