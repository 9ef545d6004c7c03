package confsync

import (
	"time"

	"sequoiafork/internal/fold"
)

// leaseTerm is a lease that its holder relies on until a time of the local monotonic
// clock.
type leaseTerm struct {
	fencingToken uint64
	validUntil   time.Time
}

// recordGrant records the effect of a grant that was read back. The term is valid for
// the TTL less the margin, counted from before the grant was appended.
func (l *LeaseHolder) recordGrant(offset, fencingToken uint64, start time.Time) {
	lease, mine := l.ownLease()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !mine:
		l.term = leaseTerm{}
	case lease.FencingToken == offset || fencingToken != 0 && lease.FencingToken == fencingToken:
		l.term = leaseTerm{
			fencingToken: lease.FencingToken,
			validUntil:   start.Add(l.config.TTL - l.config.Margin),
		}
	}
}

// ownLease returns the lease if the log has granted it to this holder, or else a zero
// Lease. The lease may have expired, or come from a grant whose response was lost: only a
// renewal determines how long it can be relied on.
func (l *LeaseHolder) ownLease() (fold.Lease, bool) {
	lease, ok := l.machine.Lease(l.config.Name)
	if !ok || lease.Holder != l.config.Holder {
		return fold.Lease{}, false
	}
	return lease, true
}

// heldByOther reports whether another holder's lease may still be valid. The log's time
// does not advance without records, so the rest of a lease term is measured by the local
// clock from when this holder first observed it.
func (l *LeaseHolder) heldByOther() bool {
	lease, ok := l.machine.Lease(l.config.Name)
	if !ok || lease.Holder == l.config.Holder {
		return false
	}
	remaining := lease.Expires.Sub(l.machine.LogTime())
	l.mu.Lock()
	defer l.mu.Unlock()
	if lease != l.otherLease {
		l.otherLease = lease
		l.otherLeaseUntil = time.Now().Add(remaining)
	}
	return time.Now().Before(l.otherLeaseUntil)
}
