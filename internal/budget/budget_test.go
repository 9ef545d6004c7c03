package budget

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBudgetAgainstModel compares random deposits and withdrawals with a model that
// counts in quarters of a token.
func TestBudgetAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.IntRange(1, 5).Draw(t, "burst")
		b := New(Config{
			Ratio: 0.25,
			Burst: burst,
		})
		quarters := 4 * burst
		for _, deposit := range rapid.SliceOf(rapid.Bool()).Draw(t, "deposits") {
			if deposit {
				b.Deposit()
				quarters = min(quarters+1, 4*burst)
				continue
			}
			require.Equal(t, quarters >= 4, b.Withdraw())
			if quarters >= 4 {
				quarters -= 4
			}
			require.Equal(t, quarters/4, b.Balance())
		}
	})
}

func TestConcurrentWithdraw(t *testing.T) {
	b := New(Config{
		Burst: 50,
	})
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			if b.Withdraw() {
				taken.Add(1)
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 50, taken.Load())
}
