package entryhost

import (
	"math/rand/v2"
	"time"
)

const (
	// readWait is how long a read of the store waits for a record. A record does not
	// always wake a read, so with readPause it stays under the two seconds in which an
	// upstream's leaving must be heeded.
	readWait = 1200 * time.Millisecond
	// readPause, readPauseEach and readPauseMost bound the pause between two reads of the
	// list of upstreams: as long as it takes to hear of a leaving upstream in time.
	readPause     = 200 * time.Millisecond
	readPauseEach = 25 * time.Millisecond
	readPauseMost = time.Second
	// tableWaitEach is the time from one daemon's read of the routes to that of the next:
	// the first that sees newer ones tells the others. tableWaitMost bounds a wait.
	tableWaitEach = 200 * time.Millisecond
	tableWaitMost = 10 * time.Second
	// retryPause and retryPauseMost bound the pause after reads that failed: it doubles,
	// so that all daemons together leave the store the most of what it can answer.
	retryPause     = 300 * time.Millisecond
	retryPauseMost = 1200 * time.Millisecond
)

// UpstreamsPollTimeout returns how long a read of the list of upstreams waits for a record.
func (h *Daemon) UpstreamsPollTimeout() time.Duration { return readWait }

// RoutesPollTimeout returns how long a read of the routes waits for a record. It grows with the
// number of daemons and differs from read to read, so that daemons take turns.
func (h *Daemon) RoutesPollTimeout() time.Duration { return tableWait(int(h.daemons.Load())) }

func tableWait(daemons int) time.Duration {
	spread := 2 * (time.Duration(daemons)*tableWaitEach - readWait)
	if spread <= 0 {
		return readWait
	}
	return min(readWait+rand.N(spread), tableWaitMost)
}

// RetryBackoff returns the pause before a read of the store that has failed some times in
// a row is tried again.
func (h *Daemon) RetryBackoff(failures int) time.Duration {
	const most = 8 // Doublings; the pause is long before.
	pause := min(retryPause<<min(max(failures-1, 0), most), retryPauseMost)
	return pause/2 + rand.N(pause/2)
}

// UpstreamsPollInterval returns how long to wait between two reads of the list of upstreams. It
// grows with the number of daemons, since they share what the store can answer.
func (h *Daemon) UpstreamsPollInterval() time.Duration {
	return min(max(readPause, time.Duration(h.daemons.Load())*readPauseEach), readPauseMost)
}
