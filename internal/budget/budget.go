// Package budget limits retries and hedges to a fraction of recent traffic, so that a
// failing upstream can't multiply the load on the others.
//
//	b := budget.New(budget.Config{})
//	b.Deposit()          // once for each first attempt
//	if b.Withdraw() { /* send one more attempt */ }
package budget

import (
	"cmp"
	"sync/atomic"
)

const (
	defaultRatio = 0.1
	defaultBurst = 10
	// unitsPerToken is the resolution of the balance: thousandths of a token.
	unitsPerToken = 1000
)

// Config configures a Budget.
type Config struct {
	// Ratio is the number of extra attempts earned by one first attempt.
	// Zero means 0.1; a negative ratio earns none.
	Ratio float64
	// Burst is the maximum balance in tokens, and the balance at the start. Zero
	// means 10; a negative burst means none.
	Burst int
	// Unlimited turns the limit off.
	Unlimited bool
}

func (c Config) withDefaults() Config {
	c.Ratio = cmp.Or(c.Ratio, defaultRatio)
	c.Burst = cmp.Or(c.Burst, defaultBurst)
	c.Ratio = max(c.Ratio, 0)
	c.Burst = max(c.Burst, 0)
	return c
}

// Budget is a token bucket in which a token pays for one extra attempt. It is safe
// for concurrent use.
type Budget struct {
	unlimited       bool
	unitsPerDeposit int64
	maxBalance      atomic.Int64
	balance         atomic.Int64
}

// New returns a full budget.
func New(cfg Config) *Budget {
	cfg = cfg.withDefaults()
	b := &Budget{
		unlimited:       cfg.Unlimited,
		unitsPerDeposit: int64(cfg.Ratio * unitsPerToken),
	}
	b.maxBalance.Store(int64(cfg.Burst) * unitsPerToken)
	b.balance.Store(b.maxBalance.Load())
	return b
}

// SetBurst changes the maximum balance in tokens. A balance above it is reduced to it, and a lower one stays.
func (b *Budget) SetBurst(burst int) {
	limit := int64(max(burst, 0)) * unitsPerToken
	if b.maxBalance.Swap(limit) == limit {
		return
	}
	for {
		old := b.balance.Load()
		if old <= limit || b.balance.CompareAndSwap(old, limit) {
			return
		}
	}
}

// Deposit adds the fraction of a token that one first attempt earns.
func (b *Budget) Deposit() {
	for {
		old := b.balance.Load()
		next := min(old+b.unitsPerDeposit, b.maxBalance.Load())
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// Withdraw takes one token, if there is one, and reports whether the extra attempt
// may be sent.
func (b *Budget) Withdraw() bool {
	if b.unlimited {
		return true
	}
	for {
		old := b.balance.Load()
		if old < unitsPerToken {
			return false
		}
		if b.balance.CompareAndSwap(old, old-unitsPerToken) {
			return true
		}
	}
}

// Return gives back a token that was withdrawn for an attempt that was not made.
func (b *Budget) Return() {
	for {
		old := b.balance.Load()
		next := min(old+unitsPerToken, b.maxBalance.Load())
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// Balance returns the number of whole tokens left.
func (b *Budget) Balance() int {
	return int(b.balance.Load() / unitsPerToken)
}
