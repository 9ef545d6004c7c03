package confsync

import (
	"time"

	"sequoiafork/internal/fold"
)

// leaseTerm is a lease that is relied on until a time of the local monotonic clock.
type leaseTerm struct {
	fencingToken uint64
	validUntil   time.Time
}

// recordGrant notes the effect of a grant that was read back. It counts from before
// the grant was appended, less the margin.
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

// ownLease returns the lease's state, or a zero one unless this holder has it on the
// log. It may have
// expired, or be of a grant whose reply was lost: only a renewal tells how long it
// can be relied on.
func (l *LeaseHolder) ownLease() (fold.Lease, bool) {
	lease, ok := l.machine.Lease(l.config.Name)
	if !ok || lease.Holder != l.config.Holder {
		return fold.Lease{}, false
	}
	return lease, true
}

// heldByOther reports whether another's tenure may still last. The log's time
// stands still without records, so what remains of a tenure is counted by the local
// clock from when the tenure was first seen.
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
