package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// TestPassedTurnsAreNotUsed guards against a process that was suspended and then uses all turns that have passed meanwhile
// at once, which is more than the upstream takes. A choice that is awaited late stands for a timer that fires late.
func TestPassedTurnsAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			perSecond = 2
			maxDelay  = 20 * time.Second
			suspended = 2 * time.Second
			waiting   = 20
		)
		set := threeUpstreams(perSecond)
		var choices []upstream.Choice
		for range waiting {
			choice, err := set.Pick(upstream.Request{
				Pool: &table.Pool{
					Service: "s",
				},
				MaxDelay: maxDelay,
			})
			require.NoError(t, err)
			choices = append(choices, choice)
		}
		time.Sleep(suspended)
		woken := time.Now()
		sent := make(map[string]int)
		for _, c := range choices {
			if c.At.After(woken) {
				continue
			}
			if failure := awaitTurn(t.Context(), c); failure == nil {
				sent[c.Addr]++
			} else {
				require.Equal(t, pipeline.NotSent, failure.Execution)
			}
		}
		for addr, n := range sent {
			require.LessOrEqual(t, n, 1, fmt.Sprintf("%s at once", addr))
		}
		require.NoError(t, toError(awaitTurn(t.Context(), choices[waiting-1])), "a turn to come is used")
	})
}

// toError returns a nil error for a nil pointer.
func toError(failure *pipeline.CallError) error {
	if failure == nil {
		return nil
	}
	return failure
}
