// Package admission hands out the slots of scarce pools. Slots go to
// workspaces by weighted fair share, and within a workspace to the request
// with the earliest deadline. No slot stays free while a request waits. A
// request that can't get a slot before its deadline is refused at once.
//
//	c := admission.New(admission.Config{})
//	slot, err := c.Acquire(ctx, admission.Request{Pool: p, Slots: 8, Workspace: "w1", Deadline: deadline})
//	if err != nil { /* errors.As *RefusedError: nothing was run */ }
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

// Discipline decides who gets a free slot. It is one of Fair, FirstCome and
// Unlimited.
type Discipline interface{ discipline() }

// Fair shares slots between workspaces by weight, earliest deadline first
// within a workspace, and refuses what can't make its deadline.
type Fair struct{}

// FIFO gives slots in the order of arrival and refuses only when the
// queue is full or the deadline has passed.
type FIFO struct{}

// Unlimited admits every request.
type Unlimited struct{}

func (Fair) discipline()      {}
func (FIFO) discipline()      {}
func (Unlimited) discipline() {}

// Config configures a Controller.
type Config struct {
	// Discipline decides who gets a free slot. Nil means Fair.
	Discipline Discipline
	// MaxQueue is the largest number of requests that wait for one pool. Zero
	// means 1024.
	MaxQueue int
	// MinRetryAfter and MaxRetryAfter bound the time to come back that a
	// refusal names. Zero means 50 ms and 30 s.
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
	// Pool names the pool and the weights of its workspaces.
	Pool *table.Pool
	// Slots is the number of slots that the pool has now.
	Slots int
	// Workspace is the workspace that the slot is charged to.
	Workspace string
	// Deadline is when the answer is due. Zero means never.
	Deadline time.Time
	// MinServiceTime is a low estimate of the time from getting the slot to the answer.
	MinServiceTime time.Duration
}

// The codes of a RefusedError.
const (
	// CodeNoCapacity means that the pool has no slots at all.
	CodeNoCapacity = "no_capacity"
	// CodeQueueFull means that too many requests wait.
	CodeQueueFull = "queue_full"
	// CodeDeadline means that the request can't be answered by its deadline.
	CodeDeadline = "deadline"
)

// RefusedError reports that a request got no slot.
type RefusedError struct {
	Code    string
	Message string
	// RetryAfter is when a slot may be free.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("admission: %s: %s (retry after %v)", e.Code, e.Message, e.RetryAfter)
}
