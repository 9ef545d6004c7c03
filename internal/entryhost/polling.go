package entryhost

import (
	"math/rand/v2"
	"time"
)

const (
	// readWait is how long a read of the store waits for a record. A record does not
	// always wake a read, so with readPause it stays under the two seconds in which an
	// upstream's leaving must be heeded.
	minPollTimeout = 1200 * time.Millisecond
	// readPause, readPauseEach and readPauseMost bound the pause between two reads of the
	// list of upstreams: as long as it takes to hear of a leaving upstream in time.
	minPollInterval       = 200 * time.Millisecond
	pollIntervalPerDaemon = 25 * time.Millisecond
	maxPollInterval       = time.Second
	// tableWaitEach is the time from one daemon's read of the routes to that of the next:
	// the first that sees newer ones tells the others. tableWaitMost bounds a wait.
	routesPollSpacing    = 200 * time.Millisecond
	maxRoutesPollTimeout = 10 * time.Second
	// retryPause and retryPauseMost bound the pause after reads that failed: it doubles,
	// so that all daemons together leave the store the most of what it can answer.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
)

// UpstreamsPollTimeout returns how long a read of the list of upstreams waits for a record.
func (d *Daemon) UpstreamsPollTimeout() time.Duration { return minPollTimeout }

// RoutesPollTimeout returns how long a read of the routes waits for a record. It grows with the
// number of daemons and differs from read to read, so that daemons take turns.
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

// RetryBackoff returns the pause before a read of the store that has failed some times in
// a row is tried again.
func (d *Daemon) RetryBackoff(failures int) time.Duration {
	const most = 8 // Doublings; the pause is long before.
	backoff := min(initialBackoff<<min(max(failures-1, 0), most), maxBackoff)
	return backoff/2 + rand.N(backoff/2)
}

// UpstreamsPollInterval returns how long to wait between two reads of the list of upstreams. It
// grows with the number of daemons, since they share what the store can answer.
func (d *Daemon) UpstreamsPollInterval() time.Duration {
	return min(max(minPollInterval, time.Duration(d.daemonCount.Load())*pollIntervalPerDaemon), maxPollInterval)
}
