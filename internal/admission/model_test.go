package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sequoiafork/internal/table"
)

// arrival is one request of a random run; times are in milliseconds.
type arrival struct {
	at, hold, deadline, workspace, cancel int
}

// TestControllerAgainstModel runs random arrivals and checks that no more slots are held
// than exist, that no slot is free while a request waits, that no slot is granted after
// the deadline, and that every request is resolved.
func TestControllerAgainstModel(t *testing.T) {
	arrivals := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) arrival {
		return arrival{
			at:        rapid.IntRange(0, 500).Draw(t, "at"),
			hold:      rapid.IntRange(0, 60).Draw(t, "hold"),
			deadline:  rapid.IntRange(0, 200).Draw(t, "deadline"),
			workspace: rapid.IntRange(0, 3).Draw(t, "workspace"),
			cancel:    rapid.IntRange(0, 300).Draw(t, "cancel"),
		}
	}), 1, 60)
	rapid.Check(t, func(rt *rapid.T) {
		list := arrivals.Draw(rt, "arrivals")
		m := &model{
			slots: rapid.IntRange(1, 5).Draw(rt, "slots"),
		}
		synctest.Test(t, func(*testing.T) { m.run(list) })
		if m.err != nil {
			rt.Fatal(m.err)
		}
	})
}

// model tracks the slots that a Controller has granted.
type model struct {
	controller *Controller
	slots      int
	mu         sync.Mutex
	held       int
	resolved   int
	err        error
}

func (m *model) run(list []arrival) {
	m.controller = New(Config{
		MaxQueue: 8,
	})
	for _, a := range list {
		go m.request(a)
	}
	for range 150 {
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
		m.check()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	if m.resolved != len(list) || m.held != 0 {
		m.fail(fmt.Errorf("%d of %d requests resolved, %d slots held", m.resolved, len(list), m.held))
	}
}

func (m *model) request(a arrival) {
	time.Sleep(time.Duration(a.at) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.cancel)*time.Millisecond)
	defer cancel()
	deadline := time.Now().Add(time.Duration(a.deadline) * time.Millisecond)
	slot, err := m.controller.Acquire(ctx, Request{
		Pool:      pool(nil),
		Slots:     m.slots,
		Workspace: fmt.Sprint(a.workspace),
		Deadline:  deadline,
	})
	m.mu.Lock()
	m.resolved++
	m.mu.Unlock()
	if err != nil {
		m.checkError(err)
		return
	}
	if time.Now().After(deadline) {
		m.fail(errors.New("a slot was granted after the deadline"))
	}
	m.hold(1)
	time.Sleep(time.Duration(a.hold) * time.Millisecond)
	m.hold(-1)
	slot.Release()
}

func (m *model) hold(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held += n
	if m.held > m.slots {
		m.err = fmt.Errorf("%d of %d slots are held", m.held, m.slots)
	}
}

func (m *model) checkError(err error) {
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		if rejected.RetryAfter <= 0 {
			m.fail(errors.New("a rejection has no Retry-After delay"))
		}
		return
	}
	if !errors.Is(err, context.DeadlineExceeded) {
		m.fail(err)
	}
}

func (m *model) check() {
	p := m.controller.pool("p")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting > 0 && p.inUse < p.slots {
		m.fail(fmt.Errorf("%d requests wait while %d slots are free", p.waiting, p.slots-p.inUse))
	}
}

func (m *model) fail(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

func pool(shares []table.Share) *table.Pool {
	return &table.Pool{
		Name:   "p",
		Shares: shares,
	}
}
