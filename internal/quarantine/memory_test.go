package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMemoryIsBounded guards against evidence that grows with what callers send: many more ends and keys than are kept,
// and holds of many keys.
func TestMemoryIsBounded(t *testing.T) {
	const (
		ends     = 2 * DefaultMaxEnds
		keys     = 2 * DefaultMaxAttempts
		maxBytes = 16 << 20
	)
	before := heapBytes()
	r := New(Config{})
	for i := range ends {
		e := End{
			Incarnation: fmt.Sprint("i-", i),
			At:          time.Now(),
		}
		for k := range keys {
			e.Attempts = append(e.Attempts, AttemptsOf(Request{
				ID: fmt.Sprint(i, "/", k),
				Keys: []Key{
					PartKey("s", fmt.Sprint(i, "/", k), 0),
				},
			}, time.Now())...)
		}
		r.Ended(e)
		r.Merge(Hold{
			Key:   uint64(i + 1),
			Since: time.Now(),
		})
	}
	for i := range 4 * DefaultMaxHolds {
		r.Merge(Hold{
			Key:   uint64(i + 1),
			Since: time.Now(),
		})
	}
	grown := heapBytes() - before
	t.Logf("%d bytes for %d ends with %d keys, %d holds", grown, len(r.ends), len(r.suspects), len(r.Holds()))
	require.LessOrEqual(t, len(r.ends), DefaultMaxEnds)
	require.LessOrEqual(t, len(r.suspects), DefaultMaxEnds*DefaultMaxAttempts)
	require.LessOrEqual(t, len(r.Holds()), DefaultMaxHolds)
	require.LessOrEqual(t, grown, int64(maxBytes))
	runtime.KeepAlive(r)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
