// Package pollpace decides how often a daemon reads the topics of the store, and how long it waits after failed reads.
//
// It answers the load of all daemons on one store, which serves a limited number of calls a second to all of them
// together.
package pollpace

import (
	"math/rand/v2"
	"time"
)

const (
	// MinTimeout is how long a read of the routes waits at least. A new record does not always wake a
	// waiting read.
	MinTimeout = 1200 * time.Millisecond
	// The interval between two reads of the list of upstreams is intervalPerReader times the
	// number of daemons that read it from the store, one in each data centre, from
	// minInterval to maxInterval, and at most maxIntervalFraction of the bound.
	minInterval         = 200 * time.Millisecond
	intervalPerReader   = 80 * time.Millisecond
	maxInterval         = 700 * time.Millisecond
	maxIntervalFraction = 0.125
	// maxAgeFraction is the part of the bound for which what was read counts as current. In the rest a daemon
	// whose source is silent reads the store itself, and requests that were sent before reach their upstreams.
	maxAgeFraction = 0.8
	// spareFraction is the part of the bound by which the next read ends sooner than the last one expires.
	spareFraction = 0.1
	// peerInterval is the interval of a daemon that reads from another one. It costs the store nothing,
	// and gathers records that are written in quick succession.
	peerInterval = 50 * time.Millisecond
	// routesSpacing is the mean time between the reads of the routes by all readers: the
	// first that reads newer routes announces them to the others.
	// maxRoutesTimeout is how long such a read waits at most.
	routesSpacing    = 200 * time.Millisecond
	maxRoutesTimeout = 10 * time.Second
	// The backoff after failed reads doubles from initialBackoff to maxBackoff, so that the
	// retries of all daemons use at most a third of the requests that the store can serve.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
	// maxProbeBackoff bounds the time between two calls to an unreachable store, and with it how
	// late the end of an outage is noticed. Only a few daemons call it so often.
	maxProbeBackoff = 600 * time.Millisecond
)

// RoutesTimeout returns how long a read of the routes waits for a new record. It grows with
// the number of readers and is random, so that their reads spread out.
func RoutesTimeout(readers int) time.Duration {
	spread := 2 * (time.Duration(readers)*routesSpacing - MinTimeout)
	if spread <= 0 {
		return MinTimeout
	}
	return min(MinTimeout+rand.N(spread), maxRoutesTimeout)
}

// Bound is the longest time after which all daemons must know that an upstream leaves.
type Bound time.Duration

// fraction returns a part of the bound.
func (b Bound) fraction(f float64) time.Duration { return time.Duration(f * float64(b)) }

// MaxAge returns for how long after the start of a read of the list of upstreams its result counts as current.
func (b Bound) MaxAge() time.Duration { return b.fraction(maxAgeFraction) }

// UpstreamsInterval returns how long to wait between two reads of the list of upstreams. For a
// daemon that reads from the store it grows with the number of readers, since they share its capacity.
func (b Bound) UpstreamsInterval(readers int, readsStore bool) time.Duration {
	if !readsStore {
		return peerInterval
	}
	return min(max(minInterval, time.Duration(readers)*intervalPerReader), maxInterval, b.fraction(maxIntervalFraction))
}

// UpstreamsTimeout returns how long a read of the list of upstreams waits for a new record. An empty result tells only that
// there was none when the read began, since a record does not always wake it. So the next read must end before the last one
// expires, both of which wait.
func (b Bound) UpstreamsTimeout(readers int) time.Duration {
	const waits = 2
	return (b.MaxAge() - b.fraction(spareFraction) - b.UpstreamsInterval(readers, true)) / waits
}

// RetryBackoff returns the backoff, with jitter, after a number of consecutive failed reads
// of the store or of peers.
func RetryBackoff(failures int) time.Duration { return backoff(failures, maxBackoff) }

// ProbeBackoff returns the time, with jitter, between two calls to a store that has not responded
// to a number of consecutive calls.
func ProbeBackoff(failures int) time.Duration { return backoff(failures, maxProbeBackoff) }

// backoff doubles from initialBackoff to longest with the failures, and returns a random time
// between half of that and all of it.
func backoff(failures int, longest time.Duration) time.Duration {
	const maxDoublings = 8 // Prevents overflow; longest is reached earlier.
	b := min(initialBackoff<<min(max(failures-1, 0), maxDoublings), longest)
	return b/2 + rand.N(b/2)
}
