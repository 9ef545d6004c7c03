package coldstart

import (
	"maps"
	"time"
)

// seenTTL is how long an upstream that is not listed any more is remembered, so that it does not count as new if it
// is listed again.
const seenTTL = time.Minute

// Upstream is one run of an upstream as the list has it.
type Upstream struct {
	Incarnation string
	DataCentre  string
	// Listed is what the list says of it.
	Listed Mark
}

// Ledger knows which upstreams are cold: those of which the list says so, those that were listed while the daemon
// served, and those of a data centre whose evacuation has ended. It is not safe for concurrent use.
type Ledger struct {
	// listedAt is when an upstream was first listed, zero for one that was listed when the daemon started,
	// and seenAt when it was last listed.
	listedAt map[string]time.Time
	seenAt   map[string]time.Time
	// returnedAt is when the last evacuation of a data centre ended.
	returnedAt map[string]time.Time
}

// NewLedger returns a Ledger without upstreams.
func NewLedger() *Ledger {
	return &Ledger{
		listedAt:   make(map[string]time.Time),
		seenAt:     make(map[string]time.Time),
		returnedAt: make(map[string]time.Time),
	}
}

// Observe records the upstreams that are listed. serving reports that a whole list was known before, so that
// those which were not on it have just started.
func (l *Ledger) Observe(listed []string, serving bool, now time.Time) {
	for _, incarnation := range listed {
		l.seenAt[incarnation] = now
		if _, known := l.listedAt[incarnation]; known {
			continue
		}
		l.listedAt[incarnation] = time.Time{}
		if serving {
			l.listedAt[incarnation] = now
		}
	}
	maps.DeleteFunc(l.seenAt, func(incarnation string, at time.Time) bool {
		gone := now.Sub(at) > seenTTL
		if gone {
			delete(l.listedAt, incarnation)
		}
		return gone
	})
}

// EndEvacuation records that the evacuation of a data centre ends.
func (l *Ledger) EndEvacuation(dataCentre string, now time.Time) { l.returnedAt[dataCentre] = now }

// Mark returns until when an upstream of a service is cold, and how many requests it may get while it is. It is the
// zero Mark if the service has no cold rate.
func (l *Ledger) Mark(u Upstream, s Spec, b Bound) Mark {
	limit := b.limit(s)
	if limit <= 0 {
		return Mark{}
	}
	until := u.Listed.Until
	if at := l.listedAt[u.Incarnation]; !u.Listed.Known && !at.IsZero() {
		until = latest(until, at.Add(s.Start))
	}
	if at, ok := l.returnedAt[u.DataCentre]; ok {
		until = latest(until, at.Add(s.Start))
	}
	return u.Listed.WithUntil(until).WithLimit(limit)
}
