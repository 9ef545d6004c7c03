package fold

import (
	"time"

	"sequoiafork/internal/wire/recordpb"
)

// MaxLeaseTTL bounds the TTL of one grant or renewal.
const MaxLeaseTTL = 10 * time.Minute

// applyLease applies a request for a lease. A new grant takes effect if the lease is
// free or has expired. A renewal or release takes effect if its holder and fencing token
// are those of the current lease term, also after that has expired.
func (m *StateMachine) applyLease(offset uint64, p *recordpb.LeaseGrant) {
	ttl := clampedDuration(p.GetTtlMs())
	if p.GetName() == "" || p.GetHolder() == "" || !p.GetRelease() && (ttl <= 0 || ttl > MaxLeaseTTL) {
		m.counters.Undecodable++
		return
	}
	old, exists := m.leases[p.GetName()]
	renews := exists && p.GetFencing() == old.FencingToken && p.GetHolder() == old.Holder
	now := time.UnixMilli(m.logTimeMs)
	switch {
	case p.GetRelease() && renews:
		m.hashes.leases.toggle(leaseToProto(old))
		delete(m.leases, old.Name)
	case p.GetRelease():
	case renews:
		m.setLease(old, old.FencingToken, p.GetHolder(), now.Add(ttl))
	case p.GetFencing() == 0 && (!exists || !old.Expires.After(now)):
		old.Name = p.GetName()
		m.setLease(old, offset, p.GetHolder(), now.Add(ttl))
	}
}

// setLease replaces old, whose fencing token is zero if the lease was free.
func (m *StateMachine) setLease(old Lease, token uint64, holder string, expires time.Time) {
	if old.FencingToken != 0 {
		m.hashes.leases.toggle(leaseToProto(old))
	}
	lease := Lease{
		Name:         old.Name,
		Holder:       holder,
		FencingToken: token,
		Expires:      expires,
	}
	m.leases[lease.Name] = lease
	m.hashes.leases.toggle(leaseToProto(lease))
}
