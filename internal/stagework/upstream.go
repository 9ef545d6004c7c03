package stagework

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// overdueFactor and overdueMargin say when a call takes far too long: its pieces are
	// then made elsewhere too. The margin covers the network.
	overdueFactor = 1.5
	overdueMargin = 80 * time.Millisecond
	// callPatience and callMargin bound a call altogether.
	callTimeoutFactor = 5.0
	callTimeoutMargin = time.Second
	// maxTries is how often a piece may be worked on.
	maxAttempts = 3
	// fullPause and failurePause are the first pauses after a refusal and a failure.
	fullBackoff    = 60 * time.Millisecond
	failureBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// roomAgain is how often an upstream is asked for its memory while others than
	// this scheduler take some of it.
	memoryQueryInterval = 250 * time.Millisecond
	// roomTimeout bounds that question, freeTimeout a call that frees results.
	memoryQueryTimeout = 500 * time.Millisecond
	freeTimeout        = time.Second
	// roomPatience is how long all work waits for the first answer of an upstream.
	firstMemoryQueryWait = 20 * time.Millisecond
	// roomKnown is how long without any job the account of memory is believed, since
	// another scheduler may have worked meanwhile.
	idleMemoryTTL = 2 * time.Second
	// roomPause is how long memory that was found taken is believed to be taken.
	noMemoryTTL = 300 * time.Millisecond
	// resultLifetime stands in for the lifetime of results that could not be freed.
	unfreedResultLifetime = 4 * time.Second
	// paceWeight is the weight of the newest call in an upstream's pace.
	slowdownWeight = 0.3
	// slowPace is the pace, against the best of the service, from which an upstream is
	// only tried with work that would wait anyway.
	slowThreshold = 2.0
)

// upstream is one process that does stages, with the account of its memory.
type upstream struct {
	Upstream
	calls    int
	draining bool
	// held is the memory of results that this scheduler has there or expects there.
	held int64
	// foreign is the memory that results of another scheduler were found to take at
	// foreignAt; it only falls until foreignTill. known is false until the upstream has
	// been asked.
	foreignBytes int64
	foreignAt    time.Time
	foreignUntil time.Time
	memoryKnown  bool
	querying     bool
	queriedAt    time.Time
	// left is memory that a call found taken by results of an owner before this one:
	// leftMost at leftAt. They were made at any time before and lapse evenly until leftTill.
	inherited        int64
	inheritedAtStart int64
	inheritedStart   time.Time
	inheritedUntil   time.Time
	// claims is memory that is believed to be taken by results without a handle.
	reservations []reservation
	backoffUntil time.Time
	failures     int
	// pace is the time of its calls against what is expected, one for an exact fit.
	slowdown float64
	// freeAt is when its call under way is expected to end.
	callEnd time.Time

	freeing       bool
	handlesToFree []string
	bytesToFree   int64
}

// claim is memory that is believed to be taken until a time.
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

// observeOverdue notes a call that has not ended yet.
func (u *upstream) observeOverdue(soFar, expected time.Duration) {
	u.slowdown = max(u.slowdown, slowThreshold*float64(soFar)/float64(expected))
}

func (u *upstream) recordFailure(now time.Time, refused bool) {
	u.failures++
	pause := failureBackoff
	if refused {
		pause = fullBackoff
	}
	u.backoffUntil = now.Add(min(pause<<min(u.failures-1, 8), maxBackoff))
}

func (u *upstream) reserve(bytes int64, until time.Time) {
	u.reservations = append(u.reservations, reservation{
		bytes: bytes,
		until: until,
	})
}

// expire drops the claims that are over.
func (u *upstream) expireEstimates(now time.Time) {
	u.reservations = slices.DeleteFunc(u.reservations, func(c reservation) bool { return !now.Before(c.until) })
	if !now.Before(u.foreignUntil) {
		u.foreignBytes = 0
	}
	if u.inherited > 0 {
		fraction := float64(u.inheritedUntil.Sub(now)) / float64(u.inheritedUntil.Sub(u.inheritedStart))
		u.inherited = int64(float64(u.inheritedAtStart) * min(max(fraction, 0), 1))
	}
}

// measure notes that there was no room beside what this scheduler holds.
func (u *upstream) measureInherited(total int64, now, till time.Time) {
	u.inherited = max(total-u.held, 0)
	u.inheritedAtStart, u.inheritedStart, u.inheritedUntil = u.inherited, now, till
}

// room returns the memory that a call may count on.
func (u *upstream) freeMemory(total int64) int64 {
	left := total - u.held - max(u.foreignBytes, u.inherited)
	for _, c := range u.reservations {
		left -= c.bytes
	}
	return left
}

// askRoom asks an upstream how much memory others than this scheduler take. The lock
// is held.
func (s *Scheduler) queryFreeMemory(svc *service, u *upstream) {
	if u.querying {
		return
	}
	u.querying = true
	u.queriedAt = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), memoryQueryTimeout)
		defer cancel()
		left, err := s.cfg.Invoker.FreeMemory(ctx, u.Upstream)
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		inUse := max(svc.spec.ResultMemoryBytes-left-u.held, 0)
		switch {
		case err != nil:
			s.cfg.Logger.Info("memory of a stage upstream not known", zap.String("upstream", u.Incarnation), zap.Error(err))
		case !u.memoryKnown:
			s.cfg.Logger.Info("memory of a stage upstream", zap.String("upstream", u.Incarnation),
				zap.Int64("free_bytes", left), zap.Int64("room_bytes", svc.spec.ResultMemoryBytes), zap.Int64("held_bytes", u.held))
			u.foreignBytes = inUse
			u.foreignUntil = now.Add(svc.spec.ResultLifetime)
		default: // The answer is a little old, so that it may count what was freed.
			u.foreignBytes = min(u.foreignBytes, inUse)
		}
		u.querying = false
		u.memoryKnown = true
		u.foreignAt = now
		s.dispatch()
	}()
}

// refreshRoom asks the upstreams whose memory is not known, or was found taken a while
// ago.
func (s *Scheduler) refreshFreeMemory(svc *service, now time.Time) {
	for _, u := range svc.upstreams {
		u.expireEstimates(now)
		if !u.draining && (!u.memoryKnown || u.foreignBytes > 0 && now.Sub(u.foreignAt) >= memoryQueryInterval) {
			s.queryFreeMemory(svc, u)
		}
	}
}

// awaitsRoom reports whether an upstream was asked for the first time just now.
func (svc *service) awaitsFreeMemory(now time.Time) bool {
	for _, u := range svc.upstreams {
		if u.querying && !u.memoryKnown && !u.draining && now.Sub(u.queriedAt) < firstMemoryQueryWait {
			return true
		}
	}
	return false
}

// forgetRoom drops the account of memory after a time without any job.
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

// free gives up a result; frees that come while a call is under way share the next.
// The memory counts as taken until the upstream has answered.
func (s *Scheduler) freeResult(u *upstream, handle string, bytes int64) {
	u.handlesToFree = append(u.handlesToFree, handle)
	u.bytesToFree += bytes
	if u.freeing {
		return
	}
	u.freeing = true
	go s.freePending(u)
}

// FreeResults gives up results of another owner that has ended.
func (s *Scheduler) FreeResults(made []PieceResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range made {
		if u := s.findHolder(m); u != nil {
			s.freeResult(u, m.Handle, 0)
		}
	}
}

func (s *Scheduler) freePending(u *upstream) {
	for {
		s.mu.Lock()
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
