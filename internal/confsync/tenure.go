package confsync

import "time"

// confirm notes the effect of a grant that was read back.
func (l *Leaser) confirm(offset, fencing uint64, start time.Time) {
	lease, ok := l.machine.Lease(l.config.Name)
	mine := ok && lease.Holder == l.config.Holder
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !mine:
		l.tenure = tenure{}
	case fencing != 0 && lease.Fencing == fencing:
		l.extend(fencing, start)
	case lease.Fencing == offset:
		l.extend(offset, start)
	default:
		// An earlier grant took effect, whose reply was lost.
		l.extend(lease.Fencing, l.pendingSince)
	}
	if fencing == 0 {
		l.pendingSince = time.Time{}
	}
}

// extend relies on the lease for its TTL, counted from before the grant was
// appended, less the margin.
func (l *Leaser) extend(fencing uint64, start time.Time) {
	until := start.Add(l.config.TTL - l.config.Margin)
	if l.tenure.fencing == fencing && l.tenure.validUntil.After(until) {
		return
	}
	l.tenure = tenure{
		fencing:    fencing,
		validUntil: until,
	}
}

// observe takes over a tenure whose grant had its reply lost, and watches the
// tenure of another holder.
func (l *Leaser) observe() {
	lease, ok := l.machine.Lease(l.config.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		return
	}
	if lease != l.seen {
		l.seen, l.seenAt = lease, time.Now()
	}
	if lease.Holder == l.config.Holder && lease.Fencing != l.tenure.fencing && !l.pendingSince.IsZero() {
		l.extend(lease.Fencing, l.pendingSince)
	}
}

// heldByOther reports whether the present tenure may still last. The log's time
// stands still without records, so the local clock counts on from when the tenure
// was first seen.
func (l *Leaser) heldByOther() bool {
	lease, ok := l.machine.Lease(l.config.Name)
	if !ok {
		return false
	}
	now := l.machine.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Add(time.Since(l.seenAt)).Before(lease.Expires)
}

func (l *Leaser) setPending(start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingSince.IsZero() {
		l.pendingSince = start
	}
}

// clearPending forgets a grant that was certainly not appended.
func (l *Leaser) clearPending(start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingSince.Equal(start) {
		l.pendingSince = time.Time{}
	}
}
