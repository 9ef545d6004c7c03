package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLongestTimeoutOfUnlimitedRoute guards against a route without a timeout counting as one whose requests take no time.
func TestLongestTimeoutOfUnlimitedRoute(t *testing.T) {
	table := New(Config{
		Routes: []Route{
			{
				Kind:    ResumableStream,
				Timeout: time.Second,
			},
			{
				Kind: ResumableStream,
			},
			{
				Kind:    Stream,
				Timeout: time.Hour,
			},
		},
	})
	require.Equal(t, DefaultTimeout, table.LongestTimeout(ResumableStream))
	require.Zero(t, table.LongestTimeout(Idempotent))
}
