package entryhost

import (
	"math/rand/v2"
	"time"
)

const (
	// minPollTimeout is how long a read of the list of upstreams waits for a record, and how
	// long a read of the routes waits at least. A new record does not always wake a waiting
	// read. The draining of an upstream must take effect within two seconds, so
	// minPollTimeout and minPollInterval together stay below that.
	minPollTimeout = 1200 * time.Millisecond
	// The interval between two reads of the list of upstreams is pollIntervalPerDaemon
	// times the number of daemons, from minPollInterval to maxPollInterval. Up to 32
	// daemons, it is as long as a draining upstream can still be noticed in time. With more,
	// the interval exceeds 800 ms, and if no record wakes the read, noticing it can take longer
	// than two seconds.
	minPollInterval       = 200 * time.Millisecond
	pollIntervalPerDaemon = 25 * time.Millisecond
	maxPollInterval       = time.Second
	// routesPollSpacing is the mean time between the reads of the routes by all daemons:
	// the first that reads newer routes announces them to the others.
	// maxRoutesPollTimeout is how long such a read waits at most.
	routesPollSpacing    = 200 * time.Millisecond
	maxRoutesPollTimeout = 10 * time.Second
	// The backoff after failed reads doubles from initialBackoff to maxBackoff, so that the
	// retries of all daemons use at most a third of the requests that the store can serve.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
)

// UpstreamsPollTimeout returns how long a read of the list of upstreams waits for a new record.
func (d *Daemon) UpstreamsPollTimeout() time.Duration { return minPollTimeout }

// RoutesPollTimeout returns how long a read of the routes waits for a new record. It grows with
// the number of daemons and is random, so that the reads of the daemons spread out.
func (d *Daemon) RoutesPollTimeout() time.Duration {
	return routesPollTimeout(int(d.daemonCount.Load()))
}

func routesPollTimeout(daemonCount int) time.Duration {
	spread := 2 * (time.Duration(daemonCount)*routesPollSpacing - minPollTimeout)
	if spread <= 0 {
		return minPollTimeout
	}
	return min(minPollTimeout+rand.N(spread), maxRoutesPollTimeout)
}

// RetryBackoff returns the backoff, with jitter, after a number of consecutive failed reads
// of the store.
func (d *Daemon) RetryBackoff(failures int) time.Duration {
	const maxDoublings = 8 // Prevents overflow; maxBackoff is reached earlier.
	backoff := min(initialBackoff<<min(max(failures-1, 0), maxDoublings), maxBackoff)
	return backoff/2 + rand.N(backoff/2)
}

// UpstreamsPollInterval returns how long to wait between two reads of the list of upstreams. It
// grows with the number of daemons, since they share the capacity of the store.
func (d *Daemon) UpstreamsPollInterval() time.Duration {
	return min(max(minPollInterval, time.Duration(d.daemonCount.Load())*pollIntervalPerDaemon), maxPollInterval)
}
