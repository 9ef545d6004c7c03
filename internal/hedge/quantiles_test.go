package hedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowAnswersAreHedgedWithinTheLimit guards against slow answers that callers wait for although the limit allows
// hedges, and against hedges beyond the limit. The bounds are multiples of the quantiles without hedges. A limit of 2%
// does not pay for all hedges of these loads, so that the slowest of a thousand answers stay as they are.
func TestSlowAnswersAreHedgedWithinTheLimit(t *testing.T) {
	const sameAsBefore = 1.01
	type bounds struct {
		limit, p99, p999 float64
	}
	for name, c := range map[string]struct {
		slowUpstreams int
		slowAnswers   float64
		slowness      float64
		bounds        []bounds
	}{
		"slow upstreams": {
			slowUpstreams: 1,
			slowness:      5,
			bounds: []bounds{
				{
					limit: 0.02,
					p99:   0.95,
					p999:  sameAsBefore,
				},
				{
					limit: 0.05,
					p99:   0.6,
					p999:  0.85,
				},
			},
		},
		"slow answers": {
			slowAnswers: 0.01,
			slowness:    10,
			bounds: []bounds{
				{
					limit: 0.02,
					p99:   0.6,
					p999:  sameAsBefore,
				},
				{
					limit: 0.05,
					p99:   0.6,
					p999:  0.5,
				},
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			play := func(limit float64) *load {
				l := &load{
					upstreams:     40,
					slowUpstreams: c.slowUpstreams,
					slowAnswers:   c.slowAnswers,
					slowness:      c.slowness,
					deciders:      1,
					requests:      20_000,
					interval:      20 * time.Millisecond,
					limit:         limit,
				}
				l.play(t)
				return l
			}
			before := play(0)
			require.Zero(t, before.made)
			for _, b := range c.bounds {
				l := play(b.limit)
				require.LessOrEqual(t, l.extraShare(), b.limit)
				for q, bound := range map[float64]float64{
					0.5:   sameAsBefore,
					0.95:  sameAsBefore,
					0.99:  b.p99,
					0.999: b.p999,
				} {
					require.LessOrEqual(t, l.quantile(q).Seconds(), bound*before.quantile(q).Seconds(), "quantile %v at limit %v", q, b.limit)
				}
			}
		})
	}
}

// TestLimitHoldsForAllDaemonsTogether guards against daemons that stay within the limit alone but not together, and
// against a burst in which every answer is slow and every request is hedged.
func TestLimitHoldsForAllDaemonsTogether(t *testing.T) {
	for _, limit := range []float64{0, 0.02, 0.05} {
		l := &load{
			upstreams:   140,
			slowAnswers: 0.02,
			slowness:    6,
			deciders:    74,
			requests:    500,
			interval:    200 * time.Millisecond,
			burst:       100,
			slowSpell:   5 * time.Second,
			limit:       limit,
		}
		l.play(t)
		require.LessOrEqual(t, l.extraShare(), limit)
		require.Zero(t, l.excess, "also at every moment before the end")
		require.Equal(t, limit > 0, l.made > 0)
	}
}
