// Package freshness lets callers share a check that has to begin after they asked for it, such as a read of all that was
// written until then. It does no I/O.
//
//	c := freshness.New(freshness.Config{Check: read, Timeout: time.Second})
//	err := c.Wait(ctx)
package freshness

import (
	"context"
	"sync"
	"time"
)

// Config configures a Checker. All fields are required.
type Config struct {
	// Check is called for one caller or more at a time, never twice at once. Its context ends after Timeout.
	Check   func(ctx context.Context) error
	Timeout time.Duration
}

// Checker runs checks. Callers that arrive while one runs share the next one, because a check covers only what came
// before it began. It is safe for concurrent use.
type Checker struct {
	cfg Config

	mu      sync.Mutex
	running *check
	next    *check
}

// check is one check; done is closed when err is set.
type check struct {
	done chan struct{}
	err  error
}

// New returns a Checker.
func New(cfg Config) *Checker {
	return &Checker{
		cfg: cfg,
	}
}

// Wait returns the result of a check that begins after the call, or the error of ctx. The check goes on for other
// callers if ctx ends first.
func (c *Checker) Wait(ctx context.Context) error {
	run := c.join()
	select {
	case <-run.done:
		return run.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the check to wait for: a new one, started at once if none runs.
func (c *Checker) join() *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &check{
			done: make(chan struct{}),
		}
		if c.running == nil {
			run := c.next
			c.running, c.next = run, nil
			go c.runChecks(run)
			return run
		}
	}
	return c.next
}

// runChecks runs run and then further checks, one at a time, until no caller waits for another one.
func (c *Checker) runChecks(run *check) {
	for run != nil {
		ctx, stop := context.WithTimeout(context.Background(), c.cfg.Timeout)
		run.err = c.cfg.Check(ctx)
		stop()
		close(run.done)
		c.mu.Lock()
		run = c.next
		c.running, c.next = run, nil
		c.mu.Unlock()
	}
}
