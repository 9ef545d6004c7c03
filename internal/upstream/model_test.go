package upstream

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// op is one random operation; kind determines what a, b and c mean.
type op struct {
	kind, a, b, c int
}

// model is a set under test with a simple model of the state it should have.
type model struct {
	set      *Set
	listed   int
	open     []Choice
	inFlight map[string]int
	leaving  map[string]time.Time
}

func TestSetAgainstModel(t *testing.T) {
	number := rapid.IntRange(0, 11)
	ops := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		return op{
			kind: number.Draw(t, "kind"),
			a:    number.Draw(t, "a"),
			b:    number.Draw(t, "b"),
			c:    number.Draw(t, "c"),
		}
	}), 1, 200)
	rapid.Check(t, func(rt *rapid.T) {
		list := ops.Draw(rt, "ops")
		var err error
		synctest.Test(t, func(*testing.T) { err = runModel(list) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func runModel(ops []op) error {
	m := &model{
		set: New(Config{
			SubsetSize: 6,
		}),
		inFlight: map[string]int{},
		leaving:  map[string]time.Time{},
	}
	m.replace(6)
	for _, o := range ops {
		if err := m.apply(o); err != nil {
			return err
		}
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

func (m *model) apply(o op) error {
	switch o.kind {
	case 0:
		m.replace(o.a + 1)
	case 1:
		m.override(addr(o.a), State(o.b%3))
	case 2:
		time.Sleep(time.Duration(o.a*o.b) * 50 * time.Millisecond)
	case 3, 4, 5, 6:
		m.done(o)
	default:
		return m.pick(o)
	}
	return nil
}

func addr(i int) string {
	return fmt.Sprintf("u%d", i)
}

func (m *model) replace(n int) {
	list := make([]Host, n)
	for i := range list {
		list[i] = Host{
			Addr:       addr(i),
			DataCentre: string(rune('a' + i%3)),
			Service:    "s",
		}
	}
	// An upstream that was removed from the list and is added again is a new one.
	for i := n; i < m.listed; i++ {
		delete(m.leaving, addr(i))
	}
	m.listed = n
	m.set.Replace(list)
}

func (m *model) override(addr string, st State) {
	m.set.OverrideState(addr, st, "reported")
	if st == Leaving {
		m.leaving[addr] = time.Now().Add(defaultLeavingTTL)
	}
}

func (m *model) pick(o op) error {
	c, err := m.set.Pick(Request{
		Pool:     pool(),
		Affinity: uint64(o.a % 4),
		Exclude:  []string{addr(o.b)},
	})
	if err != nil {
		return nil
	}
	if c.Addr == addr(o.b) {
		return fmt.Errorf("picked %s, which is excluded", c.Addr)
	}
	if time.Now().Before(m.leaving[c.Addr]) {
		return fmt.Errorf("picked %s, which is leaving", c.Addr)
	}
	m.open = append(m.open, c)
	m.inFlight[c.Addr]++
	return nil
}

func (m *model) done(o op) {
	if len(m.open) == 0 {
		return
	}
	i := o.a % len(m.open)
	c := m.open[i]
	m.open = slices.Delete(m.open, i, i+1)
	m.inFlight[c.Addr]--
	r := Result{
		Outcome: Outcome(o.b % int(Overloaded+1)),
		Latency: time.Duration(o.c+1) * 30 * time.Millisecond,
	}
	if o.c%2 == 0 {
		r.Load = &Load{
			InFlight: o.c,
			Capacity: 4,
		}
	}
	// An upstream that was removed from the list and added again is a new member.
	same := c.group.members[c.Addr] == c.member
	c.Done(r)
	if r.Outcome == RefusedLeaving && same {
		m.leaving[c.Addr] = time.Now().Add(defaultLeavingTTL)
	}
}

func (m *model) check() error {
	for _, u := range m.set.Upstreams() {
		if u.InFlight < 0 || u.InFlight > m.inFlight[u.Addr] {
			return fmt.Errorf("%s has %d in flight, want at most %d", u.Addr, u.InFlight, m.inFlight[u.Addr])
		}
	}
	g := m.set.group("s")
	now := time.Now()
	g.rebuildSubset(now)
	if ejected, live := g.ejectedCount(now), g.liveCount(now); ejected*ejectableDivisor > live {
		return fmt.Errorf("%d of %d live upstreams are ejected", ejected, live)
	}
	return nil
}
