package forward

import (
	"sync"
	"testing"
	"time"

	"sequoiafork/internal/quarantine"
)

// fakeContainment holds all requests from the start, from a time on, or once an attempt has broken.
type fakeContainment struct {
	from    time.Time
	onBreak bool

	mu        sync.Mutex
	broke     int
	succeeded int
	// admittedKeys is the number of keys with which the request was to be admitted first.
	admittedKeys int
}

// newFakeContainment returns what the option "held" says: "start", "break", "never" or the time until requests are
// held. It is nil without the option.
func newFakeContainment(t *testing.T, held string) *fakeContainment {
	c := &fakeContainment{}
	switch held {
	case "":
		return nil
	case "start":
		c.from = time.Now()
	case "break":
		c.onBreak = true
	case "never":
	default:
		c.from = time.Now().Add(durationOf(t, held))
	}
	return c
}

// orNil returns c as an interface, which is nil if c is.
func (c *fakeContainment) orNil() Containment {
	if c == nil {
		return nil
	}
	return c
}

// Active implements Containment.
func (c *fakeContainment) Active() bool { return true }

// Admit implements Containment.
func (c *fakeContainment) Admit(req quarantine.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.admittedKeys == 0 {
		c.admittedKeys = len(req.Keys)
	}
	held := !c.from.IsZero() && !time.Now().Before(c.from)
	if !held && (!c.onBreak || c.broke == 0) {
		return nil
	}
	const retryAfter = 15 * time.Second
	return &quarantine.HeldError{
		RetryAfter: retryAfter,
	}
}

// BeginAttempt implements Containment.
func (c *fakeContainment) BeginAttempt(req quarantine.Request) error { return c.Admit(req) }

// Broke implements Containment.
func (c *fakeContainment) Broke(...BrokenAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broke++
}

// NoteSuccess implements Containment.
func (c *fakeContainment) NoteSuccess(quarantine.Key) {}

// Succeeded implements Containment.
func (c *fakeContainment) Succeeded(quarantine.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.succeeded++
}
