package forward

import (
	"sync"
	"testing"
	"time"

	"sequoiafork/internal/quarantine"
)

// fakeQuarantine holds all requests from the start, from a time on, or once an attempt has broken.
type fakeQuarantine struct {
	from    time.Time
	onBreak bool

	mu        sync.Mutex
	broke     int
	succeeded int
	// admittedKeys is the number of keys with which the request was to be admitted first.
	admittedKeys int
}

// newFakeQuarantine returns what the option "held" says: "start", "break", "never" or the time until requests are
// held. It is nil without the option.
func newFakeQuarantine(t *testing.T, held string) *fakeQuarantine {
	c := &fakeQuarantine{}
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
func (c *fakeQuarantine) orNil() Quarantine {
	if c == nil {
		return nil
	}
	return c
}

// Active implements Quarantine.
func (c *fakeQuarantine) Active() bool { return true }

// Admit implements Quarantine.
func (c *fakeQuarantine) Admit(req quarantine.Request) error {
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

// BeginAttempt implements Quarantine.
func (c *fakeQuarantine) BeginAttempt(req quarantine.Request) error { return c.Admit(req) }

// Broke implements Quarantine.
func (c *fakeQuarantine) Broke(...BrokenAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broke++
}

// NoteSuccess implements Quarantine.
func (c *fakeQuarantine) NoteSuccess(quarantine.Key) {}

// Succeeded implements Quarantine.
func (c *fakeQuarantine) Succeeded(quarantine.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.succeeded++
}
