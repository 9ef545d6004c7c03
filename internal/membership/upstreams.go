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
	// suspectQuiet is how long a suspect is not told of again.
	suspectQuiet = time.Second
	// maxUpstreamRumors bounds the rumors that are remembered.
	maxUpstreamRumors = 8192
	// tellingSpread for each other daemon, up to maxTellingSpread, is the time over
	// which daemons that saw the same thing tell it.
	tellingSpread    = 10 * time.Millisecond
	maxTellingSpread = time.Second
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

// upstreamSight is the latest thing that any daemon saw of an upstream.
type upstreamSight struct {
	state    UpstreamState
	origin   string
	sequence uint64
	seen     time.Time
}

// rumorID names the rumors of one origin about one upstream.
type rumorID struct {
	addr   string
	origin string
}

// rumorMark is the last sequence seen of one rumorID.
type rumorMark struct {
	sequence uint64
	at       time.Time
}

// pendingSight is what this process saw and has not told yet.
type pendingSight struct {
	state UpstreamState
	due   time.Time
}

type upstreamTable struct {
	sights   map[string]upstreamSight
	seen     map[rumorID]rumorMark
	pending  map[string]pendingSight
	sequence uint64
}

func newUpstreamTable() upstreamTable {
	return upstreamTable{
		sights:  map[string]upstreamSight{},
		seen:    map[rumorID]rumorMark{},
		pending: map[string]pendingSight{},
	}
}

// mergeUpstream takes in a rumor and says whether it is to be passed on. One that
// tells what the daemons hold already stops here, so that an upstream's death costs
// the same whether one daemon sees it or all of them do.
func (t *Table) mergeUpstream(r *peerpb.UpstreamRumor, now time.Time) bool {
	u := &t.upstreams
	state := UpstreamState(r.GetState())
	age := time.Duration(max(r.GetAgeMs(), 0)) * time.Millisecond
	if state < UpstreamLive || state > UpstreamSuspect || age >= t.cfg.upstreamExpiry(state) {
		return false
	}
	id := rumorID{
		addr:   r.GetAddr(),
		origin: r.GetOrigin(),
	}
	mark, known := u.seen[id]
	if known && r.GetSequence() <= mark.sequence || !known && len(u.seen) >= maxUpstreamRumors {
		return false
	}
	u.seen[id] = rumorMark{
		sequence: r.GetSequence(),
		at:       now,
	}
	news := t.worthTelling(r.GetAddr(), state, now.Add(-age))
	t.see(r.GetAddr(), upstreamSight{
		state:    state,
		origin:   r.GetOrigin(),
		sequence: r.GetSequence(),
		seen:     now.Add(-age),
	})
	return news
}

// see stores a sight unless a later one is known, and notes the change.
func (t *Table) see(addr string, s upstreamSight) {
	old, ok := t.upstreams.sights[addr]
	if ok && old.seen.After(s.seen) {
		return
	}
	t.upstreams.sights[addr] = s
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
		if !t.worthTelling(addr, p.state, now) {
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
		t.see(addr, upstreamSight{
			state:    p.state,
			origin:   t.self,
			sequence: u.sequence,
			seen:     now,
		})
		rumors = append(rumors, upstreamRumor(addr, u.sights[addr], now))
	}
	t.flood(rumors, nil)
}

// tellingDelay spreads the daemons that see the same upstream die at one moment: a few
// tell it early, and the others then need not. A notice of leaving is not held back.
func (t *Table) tellingDelay(st UpstreamState) time.Duration {
	others := len(t.livingMembers()) - 1
	if st == UpstreamLeaving || others <= t.cfg.Neighbours {
		return 0
	}
	spread := min(time.Duration(others)*tellingSpread, maxTellingSpread)
	return time.Duration(float64(spread) * math.Sqrt(math.Sqrt(t.rand.Float64())))
}

// worthTelling leaves out what the others know already: the same state seen less
// than half an expiry ago, or that an upstream lives of which nobody said otherwise.
func (t *Table) worthTelling(addr string, state UpstreamState, now time.Time) bool {
	s, ok := t.upstreams.sights[addr]
	if !ok {
		return state != UpstreamLive
	}
	if state == UpstreamSuspect {
		return s.state != state || now.Sub(s.seen) >= suspectQuiet
	}
	return s.state != state || state != UpstreamLive && now.Sub(s.seen) >= t.cfg.upstreamExpiry(state)/2
}

func upstreamRumor(addr string, s upstreamSight, now time.Time) *peerpb.Rumor {
	return &peerpb.Rumor{
		Upstream: &peerpb.UpstreamRumor{
			Addr:     addr,
			State:    peerpb.UpstreamState(s.state),
			Origin:   s.origin,
			Sequence: s.sequence,
			AgeMs:    now.Sub(s.seen).Milliseconds(),
		},
	}
}

// upstreamRumors returns every rumor that holds, for a new link.
func (t *Table) upstreamRumors(now time.Time) []*peerpb.Rumor {
	var rumors []*peerpb.Rumor
	for addr, s := range t.upstreams.sights {
		rumors = append(rumors, upstreamRumor(addr, s, now))
	}
	return rumors
}

func (t *Table) expireUpstreams(now time.Time) {
	u := &t.upstreams
	for addr, s := range u.sights {
		if now.Sub(s.seen) >= t.cfg.upstreamExpiry(s.state) {
			delete(u.sights, addr)
			t.events = append(t.events, upstreamEvent{
				addr: addr,
			})
		}
	}
	for id, m := range u.seen {
		if now.Sub(m.at) >= 2*t.cfg.LeavingTTL {
			delete(u.seen, id)
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
