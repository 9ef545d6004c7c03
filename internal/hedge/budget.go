package hedge

import (
	"math"
	"sync"
	"time"
)

// workBudget is the extra work in seconds that a pool has earned and not used.
type workBudget struct {
	share  float64
	saving float64 // time constant in seconds

	mu      sync.Mutex
	balance float64
	at      time.Time
}

func newWorkBudget(cfg Config) *workBudget {
	return &workBudget{
		share:  min(cfg.ExtraWork, 1),
		saving: cfg.SavingTime.Seconds(),
		at:     time.Now(),
	}
}

// age forgets a part of what was earned. A debt stays until it is earned.
func (b *workBudget) age() {
	now := time.Now()
	if b.balance > 0 {
		b.balance *= math.Exp(-now.Sub(b.at).Seconds() / b.saving)
	}
	b.at = now
}

// earn adds the share of some seconds of work.
func (b *workBudget) earn(seconds float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.age()
	b.balance += b.share * seconds
}

// available returns the balance in seconds.
func (b *workBudget) available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.age()
	return b.balance
}

// reserve takes some seconds of work, or returns nil if less is available.
func (b *workBudget) reserve(seconds float64) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.age()
	if b.balance < seconds {
		return nil
	}
	b.balance -= seconds
	return &Reservation{
		budget:  b,
		seconds: seconds,
	}
}

// Reservation is the extra work that is set aside for one hedge.
type Reservation struct {
	budget  *workBudget
	seconds float64
	once    sync.Once
}

// Settle replaces the reservation by the extra work that the hedge has cost. What exceeds it is a debt of the pool.
// Only the first call of Settle or Cancel counts.
func (r *Reservation) Settle(extra time.Duration) {
	r.once.Do(func() {
		r.budget.mu.Lock()
		defer r.budget.mu.Unlock()
		r.budget.balance += r.seconds - extra.Seconds()
	})
}

// Cancel gives the reservation back, since the hedge was not made.
func (r *Reservation) Cancel() { r.Settle(0) }

// Work returns the work that is set aside.
func (r *Reservation) Work() time.Duration { return duration(r.seconds) }
