package upstream

import (
	"time"

	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/ratelimit"
)

const (
	// latencyWeight is the weight of the newest sample in an upstream's mean
	// latency.
	latencyWeight = 0.1
	// failureWeight is the weight of the newest outcome in its failure rate.
	failureWeight = 0.35
	// stalledFactor is the mean age of several waiting attempts, as a multiple
	// of the group's mean latency, above which it counts as stalled.
	stalledFactor = 1.5
	// minSlowness and maxSlowness bound the relative latency in the score.
	minSlowness = 0.5
	maxSlowness = 10.0
	// failurePenalty is how much a failure rate of one adds to the factor that
	// multiplies the score.
	failurePenalty = 4.0
	// initialShare is the fraction of its full share of work that an upstream
	// gets right after an ejection.
	initialShare = 0.1
	// observationHalfLife is the age at which an upstream's measured speed and
	// failures count for half, so that an idle upstream is tried again.
	observationHalfLife = 5 * time.Second
	// defaultConcurrency applies if neither the pool nor a load report has one.
	defaultConcurrency = 8
)

// member is one upstream of a service. The group's mutex guards it.
type member struct {
	host     Host
	hash     uint64
	override stateOverride

	inFlight int
	// waiting counts the attempts in flight whose response has not started, and
	// startSum is the sum of their start times since the epoch of the group.
	waiting  int
	startSum time.Duration
	// reportedOtherWork is the work of other daemons on the upstream, sampled at reportedAt.
	reportedOtherWork float64
	reportedQueue     int
	reportedPace      float64
	capacity          int
	reportedAt        time.Time

	// latency is the moving mean of attempt latencies in nanoseconds, corrected
	// for queueing.
	latency float64
	speed   speed
	// failures and slow are the recent rates of failed and of slow attempts,
	// from 0 to 1.
	failures float64
	slow     float64
	// lastNormalStart is the latest start of a successful attempt that was not slow.
	lastNormalStart time.Time
	lastDone        time.Time
	lastOK          time.Time

	ejectedUntil time.Time // zero: never ejected
	ejectReason  string
	ejections    int
	// watches holds the watches of attempts on this upstream, in the order of their
	// registration.
	watches []*ejectionWatch
	// probation allows one attempt at a time after an ejection until one succeeds
	// without being slow.
	probation bool

	pacer ratelimit.Pacer
	// sentUnderLimit is the number of attempts since the limit last changed, and limitReportedAt
	// when the limit was last reported to the other daemons, by any of them.
	sentUnderLimit  int
	limitReportedAt time.Time
	// turns are those at the upstream while it is cold, nil if it never is.
	turns *coldstart.Turns
	// sentCold is the number of attempts on the upstream since it became cold, and loggedCold
	// that it was logged as cold.
	sentCold   int
	loggedCold bool
	// pausedUntil is when the pause ends that the upstream asked for.
	pausedUntil time.Time

	// backoff is the time between probes while dead.
	backoff time.Duration
	probeAt time.Time
	probing bool
}

// stateOverride is a state that takes precedence over that of the host list until
// it expires.
type stateOverride struct {
	state  State
	reason string
	until  time.Time
}

func (m *member) state(now time.Time) State {
	// One that is listed as leaving gets no work, not even the probe of a dead one.
	if now.Before(m.override.until) && m.host.State != Leaving {
		return m.override.state
	}
	return m.host.State
}

// usable reports whether m may be chosen now.
func (m *member) usable(now time.Time) bool {
	switch m.state(now) {
	case Live:
		return !now.Before(m.ejectedUntil) && !now.Before(m.pausedUntil) && !(m.probation && m.inFlight > 0)
	case Dead:
		return !m.probing && !m.probeAt.IsZero() && now.After(m.probeAt)
	}
	return false
}

// otherWork returns the work of other daemons, discounted by its age.
func (m *member) otherWork(halfLife time.Duration, now time.Time) float64 {
	if m.reportedOtherWork == 0 {
		return 0
	}
	return m.reportedOtherWork * discount(now.Sub(m.reportedAt), halfLife)
}

// discount returns the weight of an observation by its age: one at age zero, a half
// at the half-life, and less beyond it.
func discount(age, halfLife time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+max(age, 0))
}

// meanAge returns the mean time that attempts have waited for their response to start.
func (m *member) meanAge(epoch, now time.Time) time.Duration {
	if m.waiting == 0 {
		return 0
	}
	return now.Sub(epoch) - m.startSum/time.Duration(m.waiting)
}

// slowness returns the factor by which m's recent speed and failures scale its
// score, given the mean latency of its group.
func (m *member) slowness(groupLatency float64, now time.Time) float64 {
	factor := 1 + failurePenalty*m.failures
	if groupLatency > 0 && m.latency > 0 {
		factor *= min(max(m.latency/groupLatency, minSlowness), maxSlowness)
	}
	return 1 + (factor-1)*discount(now.Sub(m.lastDone), observationHalfLife)
}

// slots returns the number of attempts that m runs concurrently.
func (m *member) slots(concurrency int) int {
	if m.capacity > 0 {
		return m.capacity
	}
	if concurrency > 0 {
		return concurrency
	}
	return defaultConcurrency
}

// rampUpShare returns the fraction of its full share of work that m gets while it
// ramps up after an ejection.
func (m *member) rampUpShare(rampUpTime time.Duration, now time.Time) float64 {
	if m.ejectedUntil.IsZero() {
		return 1
	}
	since := now.Sub(m.ejectedUntil)
	if since >= rampUpTime {
		return 1
	}
	return max(initialShare, float64(since)/float64(rampUpTime))
}

func (m *member) observeLatency(d time.Duration, slow bool) {
	sample := 0.0
	if slow {
		sample = 1
	}
	m.slow += failureWeight * (sample - m.slow)
	if m.latency == 0 {
		m.latency = float64(d)
		return
	}
	m.latency += latencyWeight * (float64(d) - m.latency)
}

func (m *member) observeFailure(failed float64) {
	m.failures += failureWeight * (failed - m.failures)
}

func (m *member) observeLoad(l *Load, now time.Time) {
	m.reportedOtherWork = float64(max(l.InFlight+l.Queued-m.inFlight, 0))
	m.reportedQueue = l.Queued
	m.reportedPace = l.Pace
	m.capacity = l.Capacity
	m.reportedAt = now.Add(-l.Age)
}
