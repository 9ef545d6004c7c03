package upstream

import "slices"

// ejectionWatch is the interest of an attempt in the ejection of its upstream.
type ejectionWatch struct {
	notify func()
}

// OnEjected calls notify if the upstream is ejected before stop is called. Several
// attempts on one upstream are notified one after the other, in the order of their calls of
// OnEjected. notify must not block.
func (c Choice) OnEjected(notify func()) (stop func()) {
	if c.member == nil {
		return func() {}
	}
	w := &ejectionWatch{
		notify: notify,
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.member.watches = append(c.member.watches, w)
	return func() { c.group.unwatch(c.member, w) }
}

func (g *group) unwatch(m *member, w *ejectionWatch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(m.watches, w); i >= 0 {
		m.watches = slices.Delete(m.watches, i, i+1)
	}
}

// notifyEjected notifies the attempts on upstreams that were ejected since the last call.
// g.mu must not be held.
func (g *group) notifyEjected() {
	g.mu.Lock()
	watches := g.ejected
	g.ejected = nil
	g.mu.Unlock()
	for _, w := range watches {
		w.notify()
	}
}
