package hostset

import (
	"time"

	"sequoiafork/internal/coldstart"
)

// coldTolerance is by how much less time a newer entry may say that its host is cold than has been computed from an
// older one, and still say the same. Entries are read with varying delays.
const coldTolerance = 3 * time.Second

// withCold returns a copy of e whose host is marked as cold until when the entry says, counted from now. The
// mark of a known entry of the same run stays if both say about the same, so that the host does not
// change with each heartbeat.
func (e Entry) withCold(known Entry, now time.Time) Entry {
	e.Host.Cold = coldstart.Mark{
		Known: e.ColdKnown,
	}
	until := now.Add(e.ColdLeft)
	before := known.Host.Cold
	longer := e.ColdLeft > 0 && until.After(before.Until)
	switch {
	case !e.ColdKnown:
	case known.sameRun(e) && before.Known && !before.Until.IsZero() && !longer && before.Until.Sub(until) <= coldTolerance:
		e.Host.Cold = before
	case e.ColdLeft > 0:
		e.Host.Cold = e.Host.Cold.WithUntil(until)
	}
	return e
}
