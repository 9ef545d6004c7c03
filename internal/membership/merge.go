package membership

import (
	"sequoiafork/internal/wire/peerpb"
)

func memberRumor(m Member) *peerpb.Rumor {
	return &peerpb.Rumor{
		Member: m.rumor(),
	}
}

// merge takes in a rumor about a member and returns the rumors to pass on.
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

// refute answers news about this incarnation that it didn't make itself.
func (t *Table) refute(m Member) []*peerpb.Rumor {
	self := t.selfMember()
	if !m.supersedes(self) {
		return nil
	}
	self = self.WithVersion(m.Version + 1)
	t.put(self)
	return []*peerpb.Rumor{memberRumor(self)}
}

// mergeDead marks a known incarnation dead. Of an unknown one nothing is kept,
// else two tables would remind each other of it for ever.
func (t *Table) mergeDead(m Member, known bool) []*peerpb.Rumor {
	if !known {
		return nil
	}
	m = t.members[m.Incarnation].WithState(Dead).WithVersion(m.Version)
	t.put(m)
	return []*peerpb.Rumor{memberRumor(m)}
}

// mergeLiving stores a living incarnation. Of two at one address the one with the
// higher version lives; this process always outlives others at its address.
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

// supersedeWithSelf marks an earlier incarnation at this process's address dead.
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

// declareDead marks a member dead by this process's own sight and tells the neighbours.
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
