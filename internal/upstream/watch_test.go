package upstream

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/table"
)

// TestEjectionNotifiesAttempts guards against calls that stay on an ejected upstream
// until it answers: the attempts in flight there must be notified once, in the order of
// their registration, and no others.
func TestEjectionNotifiesAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{
			Policy: LeastInFlight{},
		})
		pool := &table.Pool{
			Name:    "p",
			Service: "p",
		}
		s.Replace([]Host{
			{Addr: "a", Service: "p"},
			{Addr: "b", Service: "p"},
			{Addr: "c", Service: "p"},
		})
		var notified []string
		watch := func(name, addr string) func() {
			c, err := s.Pick(Request{
				Pool:    pool,
				Exclude: without([]string{"a", "b", "c"}, addr),
			})
			require.NoError(t, err)
			return c.OnEjected(func() {
				notified = append(notified, name)
				_, err := s.Pick(Request{
					Pool: pool,
				})
				require.NoError(t, err, "the set can be used meanwhile")
			})
		}
		watch("first on a", "a")
		watch("on b", "b")
		watch("second on a", "a")()
		watch("third on a", "a")
		s.OverrideState("a", Suspect, "a peer says so")
		s.OverrideState("a", Suspect, "a peer says so")
		require.Equal(t, []string{"first on a", "third on a"}, notified)
	})
}

// without returns the addresses other than addr.
func without(addrs []string, addr string) []string {
	var others []string
	for _, a := range addrs {
		if a != addr {
			others = append(others, a)
		}
	}
	return others
}
