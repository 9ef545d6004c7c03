package stagework

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/ratelimit"
)

const (
	// A call is overdue once it has taken overdueFactor times its expected duration plus
	// overdueMargin. Its pieces are then also sent to another upstream. The margin covers
	// network latency.
	overdueFactor = 1.5
	overdueMargin = 80 * time.Millisecond
	// The timeout of a call is callTimeoutFactor times its expected duration plus
	// callTimeoutMargin.
	callTimeoutFactor = 5.0
	callTimeoutMargin = time.Second
	// maxAttempts limits how often a piece is run. Calls that an upstream rejected, or for
	// which it had no memory, do not count.
	maxAttempts = 3
	// fullBackoff and failureBackoff are the initial backoffs after a rejected call and
	// after a failed one. They double with each failure up to maxBackoff.
	fullBackoff    = 60 * time.Millisecond
	failureBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// memoryQueryInterval is the interval between queries for the free memory of an
	// upstream while another scheduler uses part of it.
	memoryQueryInterval = 250 * time.Millisecond
	// memoryQueryTimeout bounds such a query, freeTimeout a call that frees results.
	memoryQueryTimeout = 500 * time.Millisecond
	freeTimeout        = time.Second
	// firstMemoryQueryWait is how long a service delays its calls for the first response
	// to a memory query.
	firstMemoryQueryWait = 20 * time.Millisecond
	// idleMemoryTTL is how long the known free memory stays valid without any job: another
	// scheduler may use the upstreams in the meantime.
	idleMemoryTTL = 2 * time.Second
	// noMemoryTTL is how long the memory that a piece did not get is assumed to be in use.
	noMemoryTTL = 300 * time.Millisecond
	// unfreedResultLifetime is how long results that could not be freed are assumed to
	// occupy memory.
	unfreedResultLifetime = 4 * time.Second
	// slowdownWeight is the weight of the newest call in the moving average of the
	// slowdown.
	slowdownWeight = 0.3
	// An upstream is slow if its slowdown is at least slowThreshold times the lowest one
	// of its service. It then gets only work that would wait anyway.
	slowThreshold = 2.0
)

// upstream is one process that runs stages, with the accounting of its result memory.
type upstream struct {
	Upstream
	// queryOrder is the place in the order in which upstreams are queried for their free memory.
	queryOrder uint64
	calls      int
	draining   bool
	// held is the memory of results that this scheduler has, or expects from calls in
	// progress, on the upstream.
	held int64
	// foreignBytes is the memory that results of other schedulers used at foreignAt,
	// computed from the upstream's response to a query.
	// After the first query it only decreases, and it is zero from foreignUntil on.
	// memoryKnown is false until the upstream has answered a query.
	foreignBytes int64
	foreignAt    time.Time
	foreignUntil time.Time
	memoryKnown  bool
	querying     bool
	queriedAt    time.Time
	// inherited estimates the memory in use by results of the previous owner of the stage
	// work. A call found inheritedAtStart bytes in use at inheritedStart. The results were
	// created at unknown times before, so they are assumed to expire evenly until
	// inheritedUntil.
	inherited        int64
	inheritedAtStart int64
	inheritedStart   time.Time
	inheritedUntil   time.Time
	// reservations is memory assumed to be in use by results that this scheduler cannot
	// free.
	reservations []reservation
	backoffUntil time.Time
	failures     int
	// slowdown is a moving average of measured call time divided by expected call time.
	slowdown float64
	// pacer paces the calls if the upstream limits the rate of requests. One scheduler at a time
	// uses all of the limit.
	pacer ratelimit.Pacer
	// turns are those at the upstream while it is cold, nil if it never is.
	turns *coldstart.Turns
	// pausedUntil is when the pause ends that the upstream asked for.
	pausedUntil time.Time
	// callEnd is when the call in progress is expected to end.
	callEnd time.Time

	freeing       bool
	handlesToFree []string
	bytesToFree   int64
}

// reservation is memory that is assumed to be in use until a time.
type reservation struct {
	bytes int64
	until time.Time
}

func newUpstream(u Upstream) *upstream {
	return &upstream{
		Upstream: u,
		slowdown: 1,
	}
}

func (u *upstream) observe(took, expected time.Duration) {
	u.slowdown += slowdownWeight * (float64(took)/float64(expected) - u.slowdown)
}

// observeOverdue raises the slowdown for a call that is still in progress.
func (u *upstream) observeOverdue(soFar, expected time.Duration) {
	u.slowdown = max(u.slowdown, slowThreshold*float64(soFar)/float64(expected))
}

func (u *upstream) recordFailure(now time.Time, rejected bool) {
	const maxDoublings = 8 // Prevents overflow; maxBackoff is reached earlier.
	u.failures++
	backoff := failureBackoff
	if rejected {
		backoff = fullBackoff
	}
	u.backoffUntil = now.Add(min(backoff<<min(u.failures-1, maxDoublings), maxBackoff))
}

func (u *upstream) reserve(bytes int64, until time.Time) {
	u.reservations = append(u.reservations, reservation{
		bytes: bytes,
		until: until,
	})
}

// expireEstimates drops expired reservations and updates the estimates of memory in use by
// other schedulers.
func (u *upstream) expireEstimates(now time.Time) {
	u.reservations = slices.DeleteFunc(u.reservations, func(r reservation) bool { return !now.Before(r.until) })
	if !now.Before(u.foreignUntil) {
		u.foreignBytes = 0
	}
	if u.inherited > 0 {
		fraction := float64(u.inheritedUntil.Sub(now)) / float64(u.inheritedUntil.Sub(u.inheritedStart))
		u.inherited = int64(float64(u.inheritedAtStart) * min(max(fraction, 0), 1))
	}
}

// measureInherited records that the upstream had no memory left, so that everything this
// scheduler does not hold is in use by results of the previous owner.
func (u *upstream) measureInherited(total int64, now, till time.Time) {
	u.inherited = max(total-u.held, 0)
	u.inheritedAtStart, u.inheritedStart, u.inheritedUntil = u.inherited, now, till
}

// freeMemory returns the estimated free result memory, given the total.
func (u *upstream) freeMemory(total int64) int64 {
	free := total - u.held - max(u.foreignBytes, u.inherited)
	for _, r := range u.reservations {
		free -= r.bytes
	}
	return free
}

// queryFreeMemory asks an upstream for its free memory in the background, to find out how
// much other schedulers use. The caller holds the lock.
func (s *Scheduler) queryFreeMemory(svc *service, u *upstream) {
	if u.querying {
		return
	}
	u.querying = true
	u.queriedAt = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), memoryQueryTimeout)
		defer cancel()
		free, err := s.cfg.Invoker.FreeMemory(ctx, u.Upstream)
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		inUse := max(svc.spec.ResultMemoryBytes-free-u.held, 0)
		switch {
		case err != nil:
			s.cfg.Logger.Info("querying the free memory of a stage upstream failed", zap.String("upstream", u.Incarnation), zap.Error(err))
		case !u.memoryKnown:
			s.cfg.Logger.Info("queried free memory of a stage upstream", zap.String("upstream", u.Incarnation),
				zap.Int64("free_bytes", free), zap.Int64("room_bytes", svc.spec.ResultMemoryBytes), zap.Int64("held_bytes", u.held))
			u.foreignBytes = inUse
			u.foreignUntil = now.Add(svc.spec.ResultLifetime)
		default: // The response may still count results that were freed since.
			u.foreignBytes = min(u.foreignBytes, inUse)
		}
		u.querying = false
		u.memoryKnown = true
		u.foreignAt = now
		s.dispatch()
	}()
}

// forgetFreeMemory starts a new period of activity when a job is submitted after
// idleMemoryTTL without any: the free memory of all upstreams is unknown then.
func (s *Scheduler) forgetFreeMemory(now time.Time) {
	if len(s.jobs) > 0 || now.Sub(s.idleSince) < idleMemoryTTL {
		return
	}
	s.activeSince = now
	for _, svc := range s.services {
		for _, u := range svc.upstreams {
			u.memoryKnown = false
		}
	}
}

// freeResult frees a result on its upstream. Results that are to be freed while such a
// call is in progress are batched into the next one. The memory counts as in use until the
// upstream has responded. Results on an upstream that limits its rate or wants a pause wait for
// freeLimited.
func (s *Scheduler) freeResult(u *upstream, handle string, bytes int64) {
	u.handlesToFree = append(u.handlesToFree, handle)
	u.bytesToFree += bytes
	if !u.restrained(time.Now()) {
		s.startFreeing(u)
	}
}

// startFreeing frees the pending results of an upstream in the background, unless it does so already.
func (s *Scheduler) startFreeing(u *upstream) {
	if u.freeing || len(u.handlesToFree) == 0 {
		return
	}
	u.freeing = true
	go s.freePending(u)
}

// FreeResults frees results that were handed over by a previous owner whose job has ended.
func (s *Scheduler) FreeResults(results []PieceResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range results {
		if u := s.findHolder(r); u != nil {
			s.freeResult(u, r.Handle, 0)
		}
	}
}

// freePending frees the pending results of an upstream until there are none. It makes one call to an
// upstream that limits its rate or wants a pause.
func (s *Scheduler) freePending(u *upstream) {
	for calls := 0; ; calls++ {
		s.mu.Lock()
		if u.restrained(time.Now()) && calls > 0 {
			u.freeing = false
			s.mu.Unlock()
			return
		}
		handles, bytes := u.handlesToFree, u.bytesToFree
		u.handlesToFree, u.bytesToFree = nil, 0
		if len(handles) == 0 {
			u.freeing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		err := s.cfg.Invoker.Free(ctx, u.Upstream, handles)
		cancel()
		s.recordFreed(u, bytes, err)
	}
}

// recordFreed updates the accounting after a call that freed results.
func (s *Scheduler) recordFreed(u *upstream, bytes int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.held -= bytes
	if err != nil {
		s.cfg.Logger.Info("freeing results failed", zap.String("upstream", u.Incarnation), zap.Error(err))
		u.reserve(bytes, time.Now().Add(unfreedResultLifetime))
	}
	s.dispatch()
}
