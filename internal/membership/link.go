package membership

import (
	"slices"
	"time"

	"sequoiafork/internal/wire/peerpb"
)

// Conn carries messages to the other end of a link. Send must not block; it returns
// false if the connection can't take the message, and the link then closes the
// connection. Close must not block and must not call back into the link.
type Conn interface {
	Send(msg *peerpb.LinkMessage) bool
	Close()
}

// Link is one connection to another daemon. A closed Link is not reused.
type Link struct {
	t            *Table
	conn         Conn
	dialed       bool
	closed       bool
	opened       time.Time
	lastReceived time.Time

	// peer is the incarnation at the other end, empty until its first heartbeat.
	peer             string
	nextOffset       uint64
	progressAt       time.Time
	wanted           bool // the other end has chosen this process
	wantedAt         time.Time
	digestMismatches int // consecutive heartbeats with a different digest
	exchangedAt      time.Time
	deadReportedAt   time.Time
	sentIdentity     bool
}

// OpenLink starts a link over conn and sends the first heartbeat, with rumors about this
// process and the known upstreams. dialed reports whether this process opened conn.
func (t *Table) OpenLink(conn Conn, dialed bool) *Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	l := &Link{
		t:            t,
		conn:         conn,
		dialed:       dialed,
		opened:       now,
		lastReceived: now,
		wantedAt:     now,
	}
	t.links[l] = struct{}{}
	l.send(&peerpb.LinkMessage{
		Heartbeat: t.heartbeatFor(l),
		Rumors:    slices.Concat([]*peerpb.Rumor{memberRumor(t.selfMember())}, t.upstreamRumors(now), t.noticeRumors(now), t.evidence(now)),
	})
	return l
}

// Close ends the link.
func (l *Link) Close() {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.close()
}

// Peer returns the incarnation at the other end, or "" before its first heartbeat.
func (l *Link) Peer() string {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	return l.peer
}

// Progress returns the other end's next offset and when its last heartbeat arrived. The
// time is zero before the first heartbeat.
func (l *Link) Progress() (next uint64, at time.Time) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	return l.nextOffset, l.progressAt
}

// Receive handles one message from the other end.
func (l *Link) Receive(msg *peerpb.LinkMessage) {
	l.t.merging(func(now time.Time) { l.receive(msg, now) })
	l.t.notify()
}

// merging calls f with the lock, which it releases also if f panics.
func (t *Table) merging(f func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(time.Now())
}

func (l *Link) receive(msg *peerpb.LinkMessage, now time.Time) {
	t := l.t
	if l.closed || !l.identify(msg.GetHeartbeat(), now) {
		return
	}
	l.lastReceived = now
	if w, ok := t.watches[l.peer]; ok {
		w.lastReceived = now
		w.linked = true
	}
	t.flood(t.mergeRumors(msg.GetRumors(), now), l)
	if hb := msg.GetHeartbeat(); hb != nil {
		l.handleHeartbeat(hb, now)
	}
	if s := msg.GetSummary(); s != nil {
		l.handleSummary(s, now)
	}
}

// mergeRumors merges rumors and returns those to forward.
func (t *Table) mergeRumors(rumors []*peerpb.Rumor, now time.Time) []*peerpb.Rumor {
	var forward []*peerpb.Rumor
	for _, r := range rumors {
		if m := r.GetMember(); m != nil {
			forward = append(forward, t.merge(m)...)
		}
		if u := r.GetUpstream(); u != nil && t.mergeUpstream(u, now) {
			forward = append(forward, r)
		}
		if l := r.GetNotice(); l != nil && t.mergeNotice(l, now) {
			forward = append(forward, r)
		}
		if e := r.GetEvidence(); e != nil && t.mergeEvidence(e, now) {
			forward = append(forward, r)
		}
	}
	return forward
}

// identify takes the peer's incarnation from its first heartbeat and makes this the link
// to that peer. It reports false, and closes the link, if the link can't be used: no
// incarnation was sent, the peer is this process, or another link is preferred.
func (l *Link) identify(hb *peerpb.Heartbeat, now time.Time) bool {
	if l.peer != "" {
		return true
	}
	t := l.t
	inc := hb.GetIncarnation()
	if inc == "" || inc == t.self {
		l.close()
		return false
	}
	l.peer = inc
	if other, ok := t.linked[inc]; ok {
		if !l.preferredOver(other, now) {
			l.close()
			return false
		}
		other.close()
	}
	t.linked[inc] = l
	if _, ok := t.watches[inc]; !ok {
		t.watches[inc] = &watch{
			lastReceived: now,
		}
	}
	return true
}

// preferredOver reports whether l replaces an older link to the same peer. Both ends
// decide alike: they keep the link dialed by the smaller incarnation, unless the older
// link has received nothing for half of HeartbeatTimeout. A second link dialed by the same
// end replaces the first.
func (l *Link) preferredOver(old *Link, now time.Time) bool {
	if l.dialed == old.dialed || now.Sub(old.lastReceived) > l.t.cfg.HeartbeatTimeout/2 {
		return true
	}
	return l.dialed == (l.t.self < l.peer)
}

func (l *Link) handleHeartbeat(hb *peerpb.Heartbeat, now time.Time) {
	t := l.t
	l.nextOffset = max(l.nextOffset, hb.GetNextOffset())
	l.progressAt = now
	l.wanted = hb.GetWanted()
	if l.wanted || t.chosen[l.peer] {
		l.wantedAt = now
	}
	e, ok := t.members[l.peer]
	if ok && e.State == Dead {
		l.reportDead(e.Member, now)
	}
	t.mergeProgress(l.peer, hb)
	l.compareDigest(hb.GetMembersDigest(), now)
}

// reportDead reports to a peer that it is dead in this table, so that the peer refutes it.
// It sends at most one report in half a heartbeat interval.
func (l *Link) reportDead(m Member, now time.Time) {
	if now.Sub(l.deadReportedAt) < l.t.cfg.HeartbeatInterval/2 {
		return
	}
	l.deadReportedAt = now
	l.send(&peerpb.LinkMessage{
		Rumors: []*peerpb.Rumor{memberRumor(m)},
	})
}

// compareDigest starts a table exchange if the digests differ: at once on a new link,
// otherwise only after two consecutive heartbeats, so that a difference due to rumors
// still in flight starts none.
func (l *Link) compareDigest(digest uint64, now time.Time) {
	t := l.t
	if digest == t.digest() {
		l.digestMismatches = 0
		return
	}
	l.digestMismatches++
	first := l.exchangedAt.IsZero()
	if !first && (l.digestMismatches < 2 || now.Sub(l.exchangedAt) < t.cfg.ExchangeInterval) {
		return
	}
	if first && !l.dialed && l.digestMismatches < 2 {
		return // the end that dialed starts the exchange
	}
	l.exchangedAt = now
	l.send(&peerpb.LinkMessage{
		Summary: t.summary(false),
	})
}

// handleSummary sends the members in the buckets that differ from the peer's summary, and
// this table's own summary unless the peer's was itself a response.
func (l *Link) handleSummary(s *peerpb.Summary, now time.Time) {
	t := l.t
	l.exchangedAt = now
	msg := &peerpb.LinkMessage{
		Rumors: t.differingMembers(s),
	}
	if !s.GetReply() {
		msg.Summary = t.summary(true)
	}
	if len(msg.GetRumors()) > 0 || msg.GetSummary() != nil {
		l.send(msg)
	}
}

func (l *Link) send(msg *peerpb.LinkMessage) {
	if !l.closed && !l.conn.Send(msg) {
		l.close()
	}
}

func (l *Link) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.conn.Close()
	t := l.t
	delete(t.links, l)
	if t.linked[l.peer] != l {
		return
	}
	delete(t.linked, l.peer)
	t.choose()
	if !l.wanted && !t.chosen[l.peer] {
		delete(t.watches, l.peer)
	}
}
