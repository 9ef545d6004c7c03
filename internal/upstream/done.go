package upstream

import "time"

// Done reports the end of the attempt that the choice was made for. It must
// be called once.
func (c Choice) Done(r Result) {
	if c.member == nil {
		return
	}
	st, changed := c.group.done(c.member, c.start, r, time.Now())
	c.group.notifyEjected()
	if changed && c.group.cfg.OnStateChange != nil {
		c.group.cfg.OnStateChange(c.Addr, st)
	}
}

// TakesWork reports whether the chosen upstream still takes new work.
func (c Choice) TakesWork() bool {
	if c.member == nil {
		return false
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	_, listed := c.group.members[c.member.host.key()]
	now := time.Now()
	return listed && c.member.state(now) == Live && !now.Before(c.member.pausedUntil)
}

// BeginTurn reports whether an attempt that has waited for its turn may be sent now. It may not if the upstream takes
// no work any more, or is cold and the turn has lapsed.
func (c Choice) BeginTurn() bool {
	if !c.TakesWork() {
		return false
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.member.beginColdTurn(c.turn, time.Now())
}

// ResponseStarted reports that the response to the attempt has started, so that a long stream
// does not count as a slow response. Result.ResponseStarted must then be set when the attempt ends.
func (c Choice) ResponseStarted() {
	if c.member == nil {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.member.responseStarted(c.start, c.group.epoch)
}

// responseStarted removes an attempt from those whose response has not started.
func (m *member) responseStarted(st attemptStart, epoch time.Time) {
	m.waiting--
	m.startSum -= st.at.Sub(epoch)
}

// done records the end of an attempt on m. It returns m's new state and whether this
// attempt changed it; Suspect stands for an ejection.
func (g *group) done(m *member, st attemptStart, r Result, now time.Time) (State, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.inFlight--
	if !r.ResponseStarted {
		m.responseStarted(st, g.epoch)
	}
	r.Latency = time.Duration(float64(r.Latency) / st.loadFactor)
	m.probing = false
	m.lastDone = now
	if r.Load != nil {
		m.observeLoad(r.Load, now)
	}
	before, ejections := m.state(now), m.ejections
	switch r.Outcome {
	case OK:
		g.succeeded(m, st, r, now)
	case ConnectFailed:
		g.setOverride(m, g.newOverride(Dead, "refused a connection", now), now)
	case Failed:
		g.failed(m, now)
	case RefusedLeaving:
		g.setOverride(m, g.newOverride(Leaving, "answered that it leaves", now), now)
	case Cancelled, TimedOut:
		// The attempt ran at least this long. A short time is no evidence: the
		// request may have had little time left. Nor is the length of a stream.
		if float64(r.Latency) > m.latency && !(r.Outcome == Cancelled && r.ResponseStarted) {
			g.observe(m, r.Latency)
			g.ejectIfSlow(m, st.at, now)
		}
	case Overloaded:
		m.reportedOtherWork = float64(m.slots(0))
		m.reportedAt = now
	}
	if r.Load != nil && r.Load.Leaving {
		g.setOverride(m, g.newOverride(Leaving, "reported that it leaves", now), now)
	}
	after := m.state(now)
	if after != before {
		g.rebuildSubset(now)
	}
	if m.ejections > ejections {
		return Suspect, true
	}
	return after, after != before
}

func (g *group) newOverride(st State, reason string, now time.Time) stateOverride {
	return stateOverride{
		state:  st,
		reason: reason,
		until:  now.Add(g.cfg.ttl(st)),
	}
}

func (g *group) succeeded(m *member, st attemptStart, r Result, now time.Time) {
	m.lastOK = now
	if m.state(now) == Dead {
		m.override = stateOverride{}
		m.backoff = 0
	}
	m.observeFailure(0)
	g.observe(m, r.Latency)
	if float64(r.Latency) <= slowFactor*g.latency && st.at.After(m.lastNormalStart) {
		m.lastNormalStart = st.at
		m.probation = false
	}
	g.ejectIfSlow(m, st.at, now)
}

func (g *group) failed(m *member, now time.Time) {
	m.observeFailure(1)
	g.ejectIfFailing(m, now)
}

// observe adds a latency to the means of m and of the group.
func (g *group) observe(m *member, d time.Duration) {
	if g.latency == 0 {
		g.latency = float64(d)
	}
	m.observeLatency(d, float64(d) > slowFactor*g.latency)
	g.latency += latencyWeight / float64(max(len(g.subset), 1)) * (float64(d) - g.latency)
}
