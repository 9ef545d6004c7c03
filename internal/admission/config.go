// Package admission limits the number of requests in progress per pool. It shares a
// pool's slots between workspaces by weighted fair share, and serves the requests of
// one workspace earliest deadline first. It is work-conserving: no slot stays free
// while a request waits. A request that can't get a slot before its deadline is
// rejected at once.
//
//	c := admission.New(admission.Config{})
//	slot, err := c.Acquire(ctx, admission.Request{Pool: p, Slots: 8, Workspace: "w1", Deadline: deadline})
//	if err != nil { /* errors.As *RejectedError: nothing was run */ }
//	defer slot.Release()
package admission

import (
	"cmp"
	"fmt"
	"time"

	"sequoiafork/internal/table"
)

const (
	defaultMaxQueue      = 1024
	defaultMinRetryAfter = 50 * time.Millisecond
	defaultMaxRetryAfter = 30 * time.Second
)

// Discipline selects the queueing discipline: Fair, FIFO or Unlimited.
type Discipline interface{ discipline() }

// Fair shares slots between workspaces by weight, serves the requests of a workspace
// earliest deadline first, and rejects requests that can't meet their deadline.
type Fair struct{}

// FIFO grants slots in the order of arrival and rejects a request only when the
// queue is full, the deadline has passed or the pool has no slots.
type FIFO struct{}

// Unlimited admits every request.
type Unlimited struct{}

func (Fair) discipline()      {}
func (FIFO) discipline()      {}
func (Unlimited) discipline() {}

// Config configures a Controller.
type Config struct {
	// Discipline is the queueing discipline. Nil means Fair.
	Discipline Discipline
	// MaxQueue is the largest number of requests that wait for one pool. Zero
	// means 1024.
	MaxQueue int
	// MinRetryAfter and MaxRetryAfter bound the Retry-After delay of a rejection.
	// Zero means 50 ms and 30 s.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	if c.Discipline == nil {
		c.Discipline = Fair{}
	}
	c.MaxQueue = cmp.Or(c.MaxQueue, defaultMaxQueue)
	c.MinRetryAfter = cmp.Or(c.MinRetryAfter, defaultMinRetryAfter)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, defaultMaxRetryAfter)
	return c
}

// Request asks for one slot.
type Request struct {
	// Pool is the pool, with the weights of its workspaces.
	Pool *table.Pool
	// Slots is the number of slots that the pool has now.
	Slots int
	// Workspace is the workspace that the slot is charged to.
	Workspace string
	// Deadline is when the response is due. Zero means no deadline.
	Deadline time.Time
	// ServiceTime is the estimated time from the grant of the slot to the response.
	ServiceTime time.Duration
	// Granted, if not nil, is told of the grant of the slot.
	Granted GrantObserver
}

// GrantObserver is told that its request got a slot. Requests that get slots at the same
// time are told in the order of the grants, so that what they do then does not depend on
// which goroutine runs first.
type GrantObserver interface {
	// SlotGranted is called once, before Acquire returns the slot. The pool is locked
	// meanwhile: it must neither block nor call the Controller.
	SlotGranted()
}

// The codes of a RejectedError.
const (
	// CodeNoCapacity means that the pool has no slots.
	CodeNoCapacity = "no_capacity"
	// CodeQueueFull means that the pool's queue is full.
	CodeQueueFull = "queue_full"
	// CodeDeadline means that the request can't be completed by its deadline.
	CodeDeadline = "deadline"
)

// RejectedError reports that a request was rejected without getting a slot.
type RejectedError struct {
	Code    string
	Message string
	// RetryAfter is the estimated time until a slot is free.
	RetryAfter time.Duration
}

// Error returns the code, the message and the Retry-After delay.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("admission: %s: %s (retry after %v)", e.Code, e.Message, e.RetryAfter)
}
