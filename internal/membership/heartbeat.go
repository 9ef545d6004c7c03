package membership

import (
	"time"

	"sequoiafork/internal/wire/peerpb"
)

// lagTimeout is how long a peer may be ahead in the log before this process considers
// itself lagging. A daemon that reads the log itself catches up sooner.
const lagTimeout = 400 * time.Millisecond

// sendHeartbeats sends a heartbeat on every link and clears heartbeatSoon.
func (t *Table) sendHeartbeats(now time.Time) {
	t.lastHeartbeat = now
	t.heartbeatSoon = false
	shared := t.heartbeatFields()
	for l := range t.links {
		l.send(&peerpb.LinkMessage{
			Heartbeat: l.completeHeartbeat(shared),
		})
	}
}

func (t *Table) heartbeatFor(l *Link) *peerpb.Heartbeat {
	return l.completeHeartbeat(t.heartbeatFields())
}

// completeHeartbeat returns a copy of shared with the fields that differ by link. The
// incarnation is sent only once on a link.
func (l *Link) completeHeartbeat(shared *peerpb.Heartbeat) *peerpb.Heartbeat {
	l.t.choose()
	hb := &peerpb.Heartbeat{
		NextOffset:    shared.GetNextOffset(),
		Revision:      shared.GetRevision(),
		MembersDigest: shared.GetMembersDigest(),
		InForce:       shared.GetInForce(),
		Wanted:        l.t.chosen[l.peer],
	}
	if !l.sentIdentity {
		hb.Incarnation = l.t.self
		l.sentIdentity = true
	}
	return hb
}

func (t *Table) heartbeatFields() *peerpb.Heartbeat {
	self := t.selfMember()
	return &peerpb.Heartbeat{
		NextOffset:    self.NextOffset,
		Revision:      self.Revision,
		MembersDigest: t.digest(),
		InForce:       t.appliedBits(self.Revision),
	}
}

// appliedBits returns a bitmap of the living members, in the order of incarnations, that
// are known to have applied the revision.
func (t *Table) appliedBits(revision uint64) []byte {
	if revision == 0 {
		return nil
	}
	living := t.livingMembers()
	bits := make([]byte, (len(living)+7)/8)
	for i, e := range living {
		if e.Revision >= revision {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// mergeProgress merges the peer's own progress and, if the member tables are equal, what
// the peer knows of the progress of others.
func (t *Table) mergeProgress(peer string, hb *peerpb.Heartbeat) {
	if next := t.selfMember().NextOffset; hb.GetNextOffset() > next && t.lagTarget <= next {
		t.lagTarget = hb.GetNextOffset()
		t.lagSince = time.Now()
	}
	changed := false
	if e, ok := t.members[peer]; ok {
		changed = hb.GetRevision() > e.Revision
		e.Member = e.WithProgress(max(e.NextOffset, hb.GetNextOffset()), max(e.Revision, hb.GetRevision()))
	}
	if hb.GetMembersDigest() == t.digest() {
		changed = t.mergeAppliedBits(hb.GetRevision(), hb.GetInForce()) || changed
	}
	if changed {
		t.heartbeatSoon = true
	}
}

// checkLag reports, once for each lagTarget, whether this process still lacks records
// that a peer has had for lagTimeout. The caller then sends a heartbeat early, so that
// the peers learn that this process does not read the log and push the records to it.
func (t *Table) checkLag(now time.Time) bool {
	if t.lagTarget <= t.selfMember().NextOffset || now.Sub(t.lagSince) < lagTimeout {
		return false
	}
	t.lagTarget = 0
	return true
}

// mergeAppliedBits merges a bitmap from appliedBits of a peer with an equal member table.
// It reports whether it changed an entry.
func (t *Table) mergeAppliedBits(revision uint64, bits []byte) bool {
	changed := false
	for i, e := range t.livingMembers() {
		if i/8 >= len(bits) {
			break
		}
		if bits[i/8]&(1<<(i%8)) == 0 || e.Revision >= revision || e.Incarnation == t.self {
			continue
		}
		e.Revision = revision
		changed = true
	}
	return changed
}
