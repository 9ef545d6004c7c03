package membership

import (
	"sequoiafork/internal/wire/peerpb"
)

func memberRumor(m Member) *peerpb.Rumor {
	return &peerpb.Rumor{
		Member: m.rumor(),
	}
}

// merge applies a rumor about a member and returns the rumors to forward.
func (t *Table) merge(r *peerpb.MemberRumor) []*peerpb.Rumor {
	m, ok := memberFromRumor(r)
	if !ok {
		return nil
	}
	if m.Incarnation == t.self {
		return t.refute(m)
	}
	old, known := t.members[m.Incarnation]
	if known && !m.supersedes(old.Member) {
		return nil
	}
	if m.State == Dead {
		return t.mergeDead(m, known)
	}
	if known {
		m = m.WithProgress(max(m.NextOffset, old.NextOffset), max(m.Revision, old.Revision))
	}
	return t.mergeLiving(m)
}

// refute overrides a rumor about this incarnation that it did not originate, by
// raising its own version above the rumor's.
func (t *Table) refute(m Member) []*peerpb.Rumor {
	self := t.selfMember()
	if !m.supersedes(self) {
		return nil
	}
	self = self.WithVersion(m.Version + 1)
	t.put(self)
	return []*peerpb.Rumor{memberRumor(self)}
}

// mergeDead marks a known incarnation dead. An unknown one is not stored, because
// otherwise two tables would reintroduce it to each other forever after forgetting it.
func (t *Table) mergeDead(m Member, known bool) []*peerpb.Rumor {
	if !known {
		return nil
	}
	m = t.members[m.Incarnation].WithState(Dead).WithVersion(m.Version)
	t.put(m)
	return []*peerpb.Rumor{memberRumor(m)}
}

// mergeLiving stores a living incarnation. Of two incarnations at one address, the one
// with the higher version is kept and the other marked dead; at this process's own
// address, this process is always the one that is kept.
func (t *Table) mergeLiving(m Member) []*peerpb.Rumor {
	current, ok := t.members[t.byAddr[m.PeerAddr]]
	if !ok || current.Incarnation == m.Incarnation || current.State == Dead {
		t.put(m)
		return []*peerpb.Rumor{memberRumor(m)}
	}
	if current.Incarnation == t.self {
		return t.supersedeWithSelf(m)
	}
	older, newer := m, current.Member
	if m.newerThan(current.Member) {
		older, newer = current.Member, m
	}
	older = older.WithState(Dead)
	t.put(older)
	t.put(newer)
	return []*peerpb.Rumor{memberRumor(older), memberRumor(newer)}
}

// supersedeWithSelf marks another incarnation at this process's address dead, and raises
// this process's version above it if necessary.
func (t *Table) supersedeWithSelf(m Member) []*peerpb.Rumor {
	m = m.WithState(Dead)
	t.put(m)
	rumors := []*peerpb.Rumor{memberRumor(m)}
	if self := t.selfMember(); !self.newerThan(m) {
		self = self.WithVersion(m.Version + 1)
		t.put(self)
		rumors = append(rumors, memberRumor(self))
	}
	return rumors
}

// declareDead marks a member dead because its timeout expired here, and floods the rumor.
func (t *Table) declareDead(inc string) {
	e, ok := t.members[inc]
	if !ok || e.State == Dead || inc == t.self {
		return
	}
	t.countDeath(inc)
	m := e.WithState(Dead)
	t.put(m)
	t.flood([]*peerpb.Rumor{memberRumor(m)}, nil)
}
