package membership

import (
	"math"
	"time"

	"sequoiafork/internal/wire/peerpb"
)

// UpstreamState is the state of an upstream as gossiped among the daemons.
type UpstreamState int

// States of an upstream.
const (
	// UpstreamUnknown means that there is no valid rumor about the upstream.
	UpstreamUnknown UpstreamState = iota
	UpstreamLive
	UpstreamLeaving
	UpstreamDead
	// UpstreamSuspect means that the upstream fails requests or is slow.
	UpstreamSuspect
)

const (
	// suspectInterval is the minimum interval between two reports of the same suspect.
	suspectInterval = time.Second
	// maxLastSequences limits the entries of upstreamTable.lastSequences. A rumor that needs a
	// further entry is dropped.
	maxLastSequences = 8192
	// reportSpreadPerDaemon times the number of other daemons, at most maxReportSpread,
	// is the maximum delay of a report: see reportDelay.
	reportSpreadPerDaemon = 10 * time.Millisecond
	maxReportSpread       = time.Second
)

// String returns the state in lower case.
func (s UpstreamState) String() string {
	switch s {
	case UpstreamLive:
		return "live"
	case UpstreamLeaving:
		return "leaving"
	case UpstreamDead:
		return "dead"
	case UpstreamSuspect:
		return "suspect"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler for state dumps.
func (s UpstreamState) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

type upstreamEvent struct {
	addr  string
	state UpstreamState
}

// upstreamObservation is the latest state of an upstream that any daemon observed.
type upstreamObservation struct {
	state      UpstreamState
	origin     string
	sequence   uint64
	observedAt time.Time
}

// rumorID identifies the sequence of rumors of one origin about one upstream.
type rumorID struct {
	addr   string
	origin string
}

// lastSequence is the sequence number last received for a rumorID. It identifies copies of
// a rumor that arrive over other links, which are dropped.
type lastSequence struct {
	sequence uint64
	at       time.Time
}

// pendingReport is a state that this process has observed and not yet sent.
type pendingReport struct {
	state UpstreamState
	due   time.Time
}

type upstreamTable struct {
	observations  map[string]upstreamObservation
	lastSequences map[rumorID]lastSequence
	pending       map[string]pendingReport
	sequence      uint64
}

func newUpstreamTable() upstreamTable {
	return upstreamTable{
		observations:  map[string]upstreamObservation{},
		lastSequences: map[rumorID]lastSequence{},
		pending:       map[string]pendingReport{},
	}
}

// mergeUpstream merges a rumor and reports whether to forward it. A rumor of a state that
// is known already is not forwarded, so that the death of an upstream costs the same
// traffic whether one daemon observes it or all of them do.
func (t *Table) mergeUpstream(r *peerpb.UpstreamRumor, now time.Time) bool {
	u := &t.upstreams
	state := UpstreamState(r.GetState())
	age := ageOf(r.GetAgeMs())
	if state < UpstreamLive || state > UpstreamSuspect || age >= t.cfg.upstreamTTL(state) {
		return false
	}
	id := rumorID{
		addr:   r.GetAddr(),
		origin: r.GetOrigin(),
	}
	last, known := u.lastSequences[id]
	if known && r.GetSequence() <= last.sequence || !known && len(u.lastSequences) >= maxLastSequences {
		return false
	}
	u.lastSequences[id] = lastSequence{
		sequence: r.GetSequence(),
		at:       now,
	}
	forward := t.shouldReport(r.GetAddr(), state, now.Add(-age))
	t.storeObservation(r.GetAddr(), upstreamObservation{
		state:      state,
		origin:     r.GetOrigin(),
		sequence:   r.GetSequence(),
		observedAt: now.Add(-age),
	})
	return forward
}

// storeObservation stores an observation unless a later one is known, and queues an event
// for OnUpstream if the state changed.
func (t *Table) storeObservation(addr string, s upstreamObservation) {
	old, ok := t.upstreams.observations[addr]
	if ok && old.observedAt.After(s.observedAt) {
		return
	}
	t.upstreams.observations[addr] = s
	// Each observation of a suspect is an event, because the receiver avoids a suspect
	// only for a limited time.
	if !ok || old.state != s.state || s.state == UpstreamSuspect {
		t.events = append(t.events, upstreamEvent{
			addr:  addr,
			state: s.state,
		})
	}
}

// flushUpstreams originates rumors for the pending reports that are due, within the rate
// limit.
func (t *Table) flushUpstreams(now time.Time) {
	u := &t.upstreams
	var rumors []*peerpb.Rumor
	for addr, p := range u.pending {
		if !t.shouldReport(addr, p.state, now) {
			delete(u.pending, addr)
			continue
		}
		if now.Before(p.due) {
			continue
		}
		if !t.limiter.AllowN(now, 1) {
			break
		}
		delete(u.pending, addr)
		u.sequence++
		t.storeObservation(addr, upstreamObservation{
			state:      p.state,
			origin:     t.self,
			sequence:   u.sequence,
			observedAt: now,
		})
		rumors = append(rumors, upstreamRumor(addr, u.observations[addr], now))
	}
	t.flood(rumors, nil)
}

// reportDelay returns a random delay that spreads the reports of daemons that observe the
// death of an upstream at the same moment: a few report early, and the others then need
// not. The fourth root skews the delays towards the maximum, so that only few are short. A
// leaving upstream is reported without delay.
func (t *Table) reportDelay(st UpstreamState) time.Duration {
	others := len(t.livingMembers()) - 1
	if st == UpstreamLeaving || others <= t.cfg.NeighbourCount {
		return 0
	}
	spread := min(time.Duration(others)*reportSpreadPerDaemon, maxReportSpread)
	return time.Duration(float64(spread) * math.Sqrt(math.Sqrt(t.rand.Float64())))
}

// shouldReport reports whether a state is worth sending. It is not if the others know it
// already: the same state was observed less than half a TTL ago (for a suspect,
// suspectInterval), or the upstream is live and no rumor says otherwise.
func (t *Table) shouldReport(addr string, state UpstreamState, now time.Time) bool {
	s, ok := t.upstreams.observations[addr]
	if !ok {
		return state != UpstreamLive
	}
	if state == UpstreamSuspect {
		return s.state != state || now.Sub(s.observedAt) >= suspectInterval
	}
	return s.state != state || state != UpstreamLive && now.Sub(s.observedAt) >= t.cfg.upstreamTTL(state)/2
}

func upstreamRumor(addr string, s upstreamObservation, now time.Time) *peerpb.Rumor {
	return &peerpb.Rumor{
		Upstream: &peerpb.UpstreamRumor{
			Addr:     addr,
			State:    peerpb.UpstreamState(s.state),
			Origin:   s.origin,
			Sequence: s.sequence,
			AgeMs:    now.Sub(s.observedAt).Milliseconds(),
		},
	}
}

// upstreamRumors returns rumors of all current observations, to be sent on a new link.
func (t *Table) upstreamRumors(now time.Time) []*peerpb.Rumor {
	var rumors []*peerpb.Rumor
	for addr, s := range t.upstreams.observations {
		rumors = append(rumors, upstreamRumor(addr, s, now))
	}
	return rumors
}

func (t *Table) expireUpstreams(now time.Time) {
	u := &t.upstreams
	for addr, s := range u.observations {
		if now.Sub(s.observedAt) >= t.cfg.upstreamTTL(s.state) {
			delete(u.observations, addr)
			t.events = append(t.events, upstreamEvent{
				addr: addr,
			})
		}
	}
	for id, m := range u.lastSequences {
		if now.Sub(m.at) >= 2*t.cfg.LeavingTTL {
			delete(u.lastSequences, id)
		}
	}
}

// notify calls OnUpstream and OnNotice for the queued events, in order, without holding t.mu.
func (t *Table) notify() {
	t.notifyMu.Lock()
	defer t.notifyMu.Unlock()
	t.mu.Lock()
	events, notices := t.events, t.notices.events
	t.events, t.notices.events = nil, nil
	t.mu.Unlock()
	if t.cfg.OnUpstream != nil {
		for _, e := range events {
			t.cfg.OnUpstream(e.addr, e.state)
		}
	}
	if t.cfg.OnNotice != nil {
		for _, n := range notices {
			t.cfg.OnNotice(n)
		}
	}
}
