package membership

import (
	"math"
	"time"

	"sequoiafork/internal/wire/peerpb"
)

// UpstreamState is what daemons tell each other about an upstream.
type UpstreamState int

// States of an upstream.
const (
	// UpstreamUnknown says that no rumor about the upstream holds.
	UpstreamUnknown UpstreamState = iota
	UpstreamLive
	UpstreamLeaving
	UpstreamDead
	// UpstreamSuspect says that the upstream fails or is slow.
	UpstreamSuspect
)

const (
	// suspectInterval is how long a suspect is not told of again.
	suspectInterval = time.Second
	// maxUpstreamRumors bounds the rumors that are remembered.
	maxUpstreamRumors = 8192
	// reportSpreadPerDaemon for each other daemon, up to maxTellingSpread, is the time over
	// which daemons that saw the same thing tell it.
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

// MarshalText returns String, for dumps.
func (s UpstreamState) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

type upstreamEvent struct {
	addr  string
	state UpstreamState
}

// upstreamObservation is the latest thing that any daemon saw of an upstream.
type upstreamObservation struct {
	state      UpstreamState
	origin     string
	sequence   uint64
	observedAt time.Time
}

// rumorID names the rumors of one origin about one upstream.
type rumorID struct {
	addr   string
	origin string
}

// lastSequence is the last sequence seen of one rumorID.
type lastSequence struct {
	sequence uint64
	at       time.Time
}

// pendingReport is what this process saw and has not told yet.
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

// mergeUpstream takes in a rumor and says whether it is to be passed on. One that
// tells what the daemons hold already stops here, so that an upstream's death costs
// the same whether one daemon sees it or all of them do.
func (t *Table) mergeUpstream(r *peerpb.UpstreamRumor, now time.Time) bool {
	u := &t.upstreams
	state := UpstreamState(r.GetState())
	age := time.Duration(max(r.GetAgeMs(), 0)) * time.Millisecond
	if state < UpstreamLive || state > UpstreamSuspect || age >= t.cfg.upstreamTTL(state) {
		return false
	}
	id := rumorID{
		addr:   r.GetAddr(),
		origin: r.GetOrigin(),
	}
	last, known := u.lastSequences[id]
	if known && r.GetSequence() <= last.sequence || !known && len(u.lastSequences) >= maxUpstreamRumors {
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

// storeObservation stores a sight unless a later one is known, and notes the change.
func (t *Table) storeObservation(addr string, s upstreamObservation) {
	old, ok := t.upstreams.observations[addr]
	if ok && old.observedAt.After(s.observedAt) {
		return
	}
	t.upstreams.observations[addr] = s
	// Each sight of a suspect is news: it is avoided for a while only.
	if !ok || old.state != s.state || s.state == UpstreamSuspect {
		t.events = append(t.events, upstreamEvent{
			addr:  addr,
			state: s.state,
		})
	}
}

// flushUpstreams starts rumors about what this process saw, within the rate.
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

// reportDelay spreads the daemons that see the same upstream die at one moment: a few
// tell it early, and the others then need not. A notice of leaving is not held back.
func (t *Table) reportDelay(st UpstreamState) time.Duration {
	others := len(t.livingMembers()) - 1
	if st == UpstreamLeaving || others <= t.cfg.Neighbours {
		return 0
	}
	spread := min(time.Duration(others)*reportSpreadPerDaemon, maxReportSpread)
	return time.Duration(float64(spread) * math.Sqrt(math.Sqrt(t.rand.Float64())))
}

// shouldReport leaves out what the others know already: the same state seen less
// than half an expiry ago, or that an upstream lives of which nobody said otherwise.
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

// upstreamRumors returns every rumor that holds, for a new link.
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

// notify calls OnUpstream for the changes so far, in order, without the table's lock.
func (t *Table) notify() {
	if t.cfg.OnUpstream == nil {
		return
	}
	t.notifyMu.Lock()
	defer t.notifyMu.Unlock()
	t.mu.Lock()
	events := t.events
	t.events = nil
	t.mu.Unlock()
	for _, e := range events {
		t.cfg.OnUpstream(e.addr, e.state)
	}
}
