package hostset

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/upstream"
)

// TestColdHosts guards against hosts whose list entries change with every heartbeat while they are cold, and against a host
// that is cold longer, again, or no longer, and is listed as before.
func TestColdHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		offset := int64(0)
		put := func(left time.Duration) coldstart.Mark {
			offset++
			e := live("a", upstream.Live)
			e.ColdKnown, e.ColdLeft = true, left
			s.Put("a", e, at(offset))
			return s.Hosts()[0].Cold
		}
		first := put(10 * time.Second)
		require.Equal(t, time.Now().Add(10*time.Second), first.Until)
		time.Sleep(heartbeatInterval)
		require.Equal(t, first, put(8700*time.Millisecond), "heartbeats are read with varying delays")
		longer := put(9 * time.Second)
		require.Equal(t, time.Now().Add(9*time.Second), longer.Until)
		shorter := put(time.Second)
		require.Equal(t, time.Now().Add(time.Second), shorter.Until)
		time.Sleep(heartbeatInterval)
		require.Equal(t, shorter, put(0), "the time is over")
		again := put(5 * time.Second)
		require.Equal(t, time.Now().Add(5*time.Second), again.Until)

		offset++
		s.Put("a", live("a", upstream.Live), at(offset))
		require.Zero(t, s.Hosts()[0].Cold, "the entry says nothing")
		require.Equal(t, coldstart.Mark{
			Known: true,
		}, put(0))
	})
}
