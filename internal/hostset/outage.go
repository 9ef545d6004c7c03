package hostset

import "time"

const (
	// heartbeatInterval is the time between two writes of a host to its entry, and entryTTL how long after the last
	// one the entry expires.
	heartbeatInterval = 1200 * time.Millisecond
	entryTTL          = 3 * heartbeatInterval
	// minExpiryOutage is the shortest outage in which the entry of a live host can expire. Heartbeats may be a little
	// late.
	minExpiryOutage = entryTTL - heartbeatInterval - 400*time.Millisecond
	// reregistrationTime is how long after an outage of the store an entry that expired during
	// it may take to reappear: the platform specifies two seconds, and reading takes a little
	// longer.
	reregistrationTime = 2500 * time.Millisecond
)

// outages determines when entries of live hosts may be missing because of an outage of the store. The zero
// value is a store that has been reachable all the time.
type outages struct {
	unreachable bool
	// lostAt is when the store was last reached before the outage, and returnedAt when the last outage ended.
	// Outages with less than heartbeatInterval between them are one.
	lostAt     time.Time
	returnedAt time.Time
	// reachableAt is when the store was reached again after an outage in which entries could expire, or came back
	// from an older copy.
	reachableAt time.Time
}

// begin records that the store is unreachable, and when it was last reached; zero means never.
func (o *outages) begin(reached time.Time) {
	if o.unreachable {
		return
	}
	o.unreachable = true
	if o.returnedAt.IsZero() || reached.Sub(o.returnedAt) >= heartbeatInterval {
		o.lostAt = reached
	}
}

// end records that the store is reachable since a time. It returns how long the outage was and whether entries of live
// hosts could expire in it.
func (o *outages) end(since time.Time) (length time.Duration, couldExpire bool) {
	o.unreachable = false
	o.returnedAt = since
	length = since.Sub(o.lostAt)
	couldExpire = length >= minExpiryOutage
	if couldExpire && since.After(o.reachableAt) {
		o.reachableAt = since
	}
	return length, couldExpire
}

// rewind records that the store has come back from an older copy, which may lack entries however short the outage
// was.
func (o *outages) rewind(now time.Time) {
	if o.unreachable { // The end of the outage tells since when it is reachable.
		o.lostAt = time.Time{}
		return
	}
	o.reachableAt = now
}

// entriesMayBeMissing reports whether the store is unreachable, or has been reachable for less than
// reregistrationTime after entries may have been lost.
func (o *outages) entriesMayBeMissing(now time.Time) bool {
	return o.unreachable || !o.reachableAt.IsZero() && now.Sub(o.reachableAt) < reregistrationTime
}
