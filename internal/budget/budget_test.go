package budget

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// step is a call of a Budget's method.
type step int

const (
	deposit step = iota
	withdraw
	giveBack
	halve
)

// TestBudgetAgainstModel compares random deposits, withdrawals, returns and changes of the burst with a model that
// counts in quarters of a token.
func TestBudgetAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.IntRange(1, 5).Draw(t, "burst")
		b := New(Config{
			Ratio: 0.25,
			Burst: burst,
		})
		quarters := 4 * burst
		for _, s := range rapid.SliceOf(rapid.SampledFrom([]step{deposit, withdraw, giveBack, halve})).Draw(t, "steps") {
			switch s {
			case deposit:
				b.Deposit()
				quarters = min(quarters+1, 4*burst)
			case giveBack:
				b.Return()
				quarters = min(quarters+4, 4*burst)
			case halve:
				burst = (burst + 1) / 2
				b.SetBurst(burst)
				quarters = min(quarters, 4*burst)
			case withdraw:
				require.Equal(t, quarters >= 4, b.Withdraw())
				if quarters >= 4 {
					quarters -= 4
				}
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
