package stagework

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRepeats guards against the results of one request that are given to another, because an upstream sent the response
// twice, and against sound responses that count as such.
func TestRepeats(t *testing.T) {
	var r Repeats
	observe := func(incarnation, request, key, handle string) bool {
		return r.Observe(incarnation, []Item{
			{
				RequestID: request,
				InputKey:  key,
			},
		}, []ItemResult{
			{
				Handle: handle,
			},
		})
	}
	require.False(t, observe("u", "r1", "", "h1"))
	require.False(t, observe("u", "r2", "", "h2"))
	require.True(t, observe("u", "r3", "", "h2"), "a copy of the last response")
	require.False(t, observe("u", "r1", "", "h1"), "the same item again")
	require.True(t, observe("u", "r4", "", "h1"), "a copy of an earlier one")
	require.False(t, observe("u", "r4", "", "h1"), "a handle that is used again fails one call")
	require.False(t, observe("v", "r5", "", "h1"), "another upstream")
	require.False(t, observe("u", "r6", "k", "h6"))
	require.False(t, observe("u", "r7", "k", "h6"), "the same input")
	require.True(t, observe("u", "r8", "l", "h6"), "another input")
	r.Freed("u", []string{"h6"})
	require.False(t, observe("u", "r8", "", "h6"), "it was freed")
	require.False(t, observe("u", "r9", "", ""), "no result")
	require.False(t, observe("u", "r10", "", ""), "no result")
}

// TestRepeatsAreBounded guards against memory that grows with the calls and the upstreams.
func TestRepeatsAreBounded(t *testing.T) {
	var r Repeats
	for i := range maxRepeatUpstreams + 1 {
		for j := range maxRecentRuns + 1 {
			r.record(fmt.Sprint(i), runResult{
				handle: fmt.Sprint(j),
			})
		}
		require.LessOrEqual(t, len(r.recent), maxRepeatUpstreams)
		require.Len(t, r.recent[fmt.Sprint(i)], maxRecentRuns)
	}
}
