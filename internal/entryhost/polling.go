package entryhost

import (
	"time"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/pollpace"
)

// UpstreamsPollTimeout returns how long a read of the list of upstreams waits for a new record.
func (d *Daemon) UpstreamsPollTimeout() time.Duration {
	return d.leaveBound().UpstreamsTimeout(countReaders(d.members.Members()))
}

// UpstreamsMaxAge returns for how long after the start of a read of the list of upstreams its result counts as current.
func (d *Daemon) UpstreamsMaxAge() time.Duration { return d.leaveBound().MaxAge() }

// leaveBound returns the bound within which no daemon sends requests to an upstream that leaves.
func (d *Daemon) leaveBound() pollpace.Bound {
	return pollpace.Bound(d.cfg.Settings.Upstreams.LeaveBound)
}

// RoutesPollTimeout returns how long a read of the routes waits for a new record.
func (d *Daemon) RoutesPollTimeout() time.Duration {
	return pollpace.RoutesTimeout(countReaders(d.members.Members()))
}

// RetryBackoff returns the backoff after a number of consecutive failed reads of the store or of peers.
func (d *Daemon) RetryBackoff(failures int) time.Duration { return pollpace.RetryBackoff(failures) }

// UpstreamsPollInterval returns how long to wait between two reads of the list of upstreams.
func (d *Daemon) UpstreamsPollInterval() time.Duration {
	readsStore := d.readers.Current() == d.members.Self().Incarnation
	return d.leaveBound().UpstreamsInterval(countReaders(d.members.Members()), readsStore)
}

// countReaders returns the number of data centres with a living member, each of which has a
// reader.
func countReaders(members []membership.Member) int {
	centres := make(map[string]bool)
	for _, m := range members {
		if m.State == membership.Alive {
			centres[m.DataCentre] = true
		}
	}
	return len(centres)
}
