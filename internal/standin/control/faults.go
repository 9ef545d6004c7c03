package control

import (
	"sync"
	"time"

	"sequoiafork/internal/wire/standinapi"
)

// Faults holds the faults in effect. It is safe for concurrent use; the zero
// value has none.
type Faults struct {
	mu      sync.Mutex
	current standinapi.Faults
	changed chan struct{}
}

// Set replaces the faults.
func (f *Faults) Set(faults standinapi.Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = faults
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Current returns the faults in effect.
func (f *Faults) Current() standinapi.Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Changed returns a channel that is closed when the faults are next replaced.
func (f *Faults) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// TakeLostReply reports whether to lose the next response, and if so decrements
// the number of responses to lose.
func (f *Faults) TakeLostReply() bool {
	return f.take(func(c *standinapi.Faults) *standinapi.OptInt { return &c.LoseReplies })
}

// TakeWrongAttemptID reports whether the next response is to carry a wrong
// attempt id, and if so decrements the number of such responses.
func (f *Faults) TakeWrongAttemptID() bool {
	return f.take(func(c *standinapi.Faults) *standinapi.OptInt { return &c.WrongAttemptIds })
}

// TakeDuplicateAnswer reports whether to send the next response twice, and if so
// decrements the number of such responses.
func (f *Faults) TakeDuplicateAnswer() bool {
	return f.take(func(c *standinapi.Faults) *standinapi.OptInt { return &c.DuplicateAnswers })
}

// TakeShortOutput reports whether the output of the next response is to lack its
// last byte, and if so decrements the number of such responses.
func (f *Faults) TakeShortOutput() bool {
	return f.take(func(c *standinapi.Faults) *standinapi.OptInt { return &c.ShortOutputs })
}

func (f *Faults) take(field func(*standinapi.Faults) *standinapi.OptInt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := field(&f.current)
	if n.Value <= 0 {
		return false
	}
	n.Value--
	return true
}

// Slow multiplies a service time by the slow factor in effect.
func (f *Faults) Slow(d time.Duration) time.Duration {
	factor := f.Current().SlowFactor.Or(0)
	if factor <= 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// Lag returns how far host lists, load reports and cache events lag behind the
// current state.
func (f *Faults) Lag() time.Duration {
	return milliseconds(f.Current().LagMs)
}

func milliseconds(ms standinapi.OptInt64) time.Duration {
	return time.Duration(ms.Or(0)) * time.Millisecond
}
