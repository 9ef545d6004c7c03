package streamorigin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOldestEntriesAreDropped guards against a table that grows without bound.
func TestOldestEntriesAreDropped(t *testing.T) {
	const most = 100
	table := New(Config{
		MaxEntries: most,
	})
	for i := range 3 * most {
		table.Begin(fmt.Sprint("r", i), Origin{
			Service: "s",
			Version: "v1",
		})
	}
	require.Equal(t, most, table.Len())
	require.False(t, table.Ask("r199", "s").Known)
	require.True(t, table.Ask("r200", "s").Known)
}

// TestPeersThatAreAskedWereTold guards against a query that misses all daemons to which an origin was announced.
func TestPeersThatAreAskedWereTold(t *testing.T) {
	var living []string
	for i := range 340 {
		living = append(living, fmt.Sprint("d", i))
	}
	for i := range 200 {
		id := fmt.Sprint("r", i)
		origin, asker := living[i], living[(i*7+1)%len(living)]
		told := AnnounceTo(id, origin, living)
		require.Len(t, told, replicas)
		require.Subset(t, append(AskOf(id, asker, living), asker), told)
	}
}

// TestRetentionThatGrows guards against a stream that goes on at another version after its route was taken away, with which
// the retention shrinks, and added again: the version that began it is forgotten meanwhile.
func TestRetentionThatGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const short = 10 * time.Second
		table := newTestTable()
		observe := func(version string, length time.Duration) {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(observeInterval) {
				table.ObserveUpstreams([]Origin{
					{
						Service: "s",
						Version: version,
					},
				})
			}
		}
		observe("v1", testRetention+time.Second)
		require.True(t, table.Ask("r1", "s").Complete)
		table.SetRetention(short)
		observe("v2", short+time.Second)
		table.SetRetention(testRetention)
		require.False(t, table.Ask("r1", "s").Complete)
		observe("v2", testRetention-short)
		require.True(t, table.Ask("r1", "s").Complete)
	})
}
