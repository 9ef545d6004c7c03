package hedge

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBudgetNeverExceedsItsShare guards against any order of requests and hedges in which those that stay within their
// reservations exceed the share of the work together.
func TestBudgetNeverExceedsItsShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(rt, "share")
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 200).Draw(rt, "steps")
		seconds := rapid.SliceOfN(rapid.Float64Range(0, 2), len(steps), len(steps)).Draw(rt, "seconds")
		synctest.Test(t, func(t *testing.T) {
			b := newWorkBudget(Config{
				ExtraWork: share,
			}.withDefaults())
			var open []*Reservation
			work, extra := 0.0, 0.0
			for i, kind := range steps {
				switch {
				case kind == 0:
					work += seconds[i]
					b.earn(seconds[i])
				case kind == 1:
					if r := b.reserve(seconds[i]); r != nil {
						open = append(open, r)
					}
				case kind == 2 && len(open) > 0:
					cost := min(open[0].Work().Seconds(), seconds[i])
					extra += cost
					open[0].Settle(duration(cost))
					open = open[1:]
				default:
					time.Sleep(duration(seconds[i]))
				}
				require.LessOrEqual(t, extra, share*work+1e-6)
			}
		})
	})
}
