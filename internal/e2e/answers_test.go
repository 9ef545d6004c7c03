package e2e

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAnswersWithoutFaults calls every route through every daemon, without faults.
func TestAnswersWithoutFaults(t *testing.T) {
	c := startCluster(t, config{})
	var calls []call
	for i := range 30 {
		for route := range routes {
			calls = append(calls, call{
				daemon: i % len(c.daemons),
				route:  route,
				input:  fmt.Sprintf("%s %d", route, i),
			})
		}
	}
	for _, r := range c.doAll(t.Context(), calls...) {
		require.Equal(t, answered, r.outcome, r)
	}
	c.check(t)
}
