package entryhost

import (
	"math/rand/v2"
	"time"

	"sequoiafork/internal/membership"
)

const (
	// minPollTimeout is how long a read of the list of upstreams waits for a record, and how
	// long a read of the routes waits at least. A new record does not always wake a waiting
	// read. The draining of an upstream must take effect within two seconds, so
	// minPollTimeout, maxPollInterval and peerPollInterval together stay below that: the reader sleeps
	// through a record, waits, and a daemon that reads from it waits, too.
	minPollTimeout = 1200 * time.Millisecond
	// The interval between two reads of the list of upstreams is pollIntervalPerReader times the
	// number of daemons that read it from the store, one in each data centre, from
	// minPollInterval to maxPollInterval.
	minPollInterval       = 200 * time.Millisecond
	pollIntervalPerReader = 80 * time.Millisecond
	maxPollInterval       = 700 * time.Millisecond
	// peerPollInterval is the interval of a daemon that reads from another one. It costs the store nothing,
	// and gathers records that are written in quick succession.
	peerPollInterval = 50 * time.Millisecond
	// routesPollSpacing is the mean time between the reads of the routes by all readers: the
	// first that reads newer routes announces them to the others.
	// maxRoutesPollTimeout is how long such a read waits at most.
	routesPollSpacing    = 200 * time.Millisecond
	maxRoutesPollTimeout = 10 * time.Second
	// The backoff after failed reads doubles from initialBackoff to maxBackoff, so that the
	// retries of all daemons use at most a third of the requests that the store can serve.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
	// maxProbeBackoff bounds the time between two calls to an unreachable store, and with it how
	// late the end of an outage is noticed. Only a few daemons call it so often.
	maxProbeBackoff = 600 * time.Millisecond
)

// UpstreamsPollTimeout returns how long a read of the list of upstreams waits for a new record.
func (d *Daemon) UpstreamsPollTimeout() time.Duration { return minPollTimeout }

// RoutesPollTimeout returns how long a read of the routes waits for a new record. It grows with
// the number of readers and is random, so that their reads spread out.
func (d *Daemon) RoutesPollTimeout() time.Duration {
	return routesPollTimeout(countReaders(d.members.Members()))
}

func routesPollTimeout(readerCount int) time.Duration {
	spread := 2 * (time.Duration(readerCount)*routesPollSpacing - minPollTimeout)
	if spread <= 0 {
		return minPollTimeout
	}
	return min(minPollTimeout+rand.N(spread), maxRoutesPollTimeout)
}

// RetryBackoff returns the backoff, with jitter, after a number of consecutive failed reads
// of the store or of peers.
func (d *Daemon) RetryBackoff(failures int) time.Duration { return backoff(failures, maxBackoff) }

// probeBackoff returns the time, with jitter, between two calls to a store that has not responded
// to a number of consecutive calls.
func probeBackoff(failures int) time.Duration { return backoff(failures, maxProbeBackoff) }

// backoff doubles from initialBackoff to longest with the failures, and returns a random time
// between half of that and all of it.
func backoff(failures int, longest time.Duration) time.Duration {
	const maxDoublings = 8 // Prevents overflow; longest is reached earlier.
	b := min(initialBackoff<<min(max(failures-1, 0), maxDoublings), longest)
	return b/2 + rand.N(b/2)
}

// UpstreamsPollInterval returns how long to wait between two reads of the list of upstreams. For a
// daemon that reads from the store it grows with the number of readers, since they share its capacity.
func (d *Daemon) UpstreamsPollInterval() time.Duration {
	readsStore := d.readers.Current() == d.members.Self().Incarnation
	return upstreamsPollInterval(countReaders(d.members.Members()), readsStore)
}

func upstreamsPollInterval(readerCount int, readsStore bool) time.Duration {
	if !readsStore {
		return peerPollInterval
	}
	return min(max(minPollInterval, time.Duration(readerCount)*pollIntervalPerReader), maxPollInterval)
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
