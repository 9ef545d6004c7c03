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
	callPatience = 5.0
	callMargin   = time.Second
	// maxTries is how often a piece may be worked on.
	maxTries = 3
	// fullPause and failurePause are the first pauses after a refusal and a failure.
	fullPause    = 60 * time.Millisecond
	failurePause = 250 * time.Millisecond
	failureMost  = 4 * time.Second
	// roomAgain is how often an upstream is asked for its memory while others than
	// this scheduler take some of it.
	roomAgain = 250 * time.Millisecond
	// roomTimeout bounds that question, freeTimeout a call that frees results.
	roomTimeout = 500 * time.Millisecond
	freeTimeout = time.Second
	// roomPatience is how long all work waits for the first answer of an upstream.
	roomPatience = 20 * time.Millisecond
	// roomKnown is how long without any job the account of memory is believed, since
	// another scheduler may have worked meanwhile.
	roomKnown = 2 * time.Second
	// roomPause is how long memory that was found taken is believed to be taken.
	roomPause = 300 * time.Millisecond
	// resultLifetime stands in for the lifetime of results that could not be freed.
	resultLifetime = 4 * time.Second
	// paceWeight is the weight of the newest call in an upstream's pace.
	paceWeight = 0.3
	// slowPace is the pace, against the best of the service, from which an upstream is
	// only tried with work that would wait anyway.
	slowPace = 2.0
)

// upstream is one process that does stages, with the account of its memory.
type upstream struct {
	Upstream
	calls   int
	leaving bool
	// held is the memory of results that this scheduler has there or expects there.
	held int64
	// foreign is the memory that results of another scheduler were found to take at
	// foreignAt; it only falls until foreignTill. known is false until the upstream has
	// been asked.
	foreign     int64
	foreignAt   time.Time
	foreignTill time.Time
	known       bool
	asking      bool
	askedAt     time.Time
	// left is memory that a call found taken by results of an owner before this one:
	// leftMost at leftAt. They were made at any time before and lapse evenly until leftTill.
	left     int64
	leftMost int64
	leftAt   time.Time
	leftTill time.Time
	// claims is memory that is believed to be taken by results without a handle.
	claims    []claim
	pauseTill time.Time
	failures  int
	// pace is the time of its calls against what is expected, one for an exact fit.
	pace float64
	// freeAt is when its call under way is expected to end.
	freeAt time.Time

	freeing bool
	toFree  []string
	toBytes int64
}

// claim is memory that is believed to be taken until a time.
type claim struct {
	bytes int64
	until time.Time
}

func newUpstream(u Upstream) *upstream {
	return &upstream{
		Upstream: u,
		pace:     1,
	}
}

func (u *upstream) observe(took, expected time.Duration) {
	u.pace += paceWeight * (float64(took)/float64(expected) - u.pace)
}

// observeOverdue notes a call that has not ended yet.
func (u *upstream) observeOverdue(soFar, expected time.Duration) {
	u.pace = max(u.pace, slowPace*float64(soFar)/float64(expected))
}

func (u *upstream) noteFailure(now time.Time, refused bool) {
	u.failures++
	pause := failurePause
	if refused {
		pause = fullPause
	}
	u.pauseTill = now.Add(min(pause<<min(u.failures-1, 8), failureMost))
}

func (u *upstream) claim(bytes int64, until time.Time) {
	u.claims = append(u.claims, claim{
		bytes: bytes,
		until: until,
	})
}

// expire drops the claims that are over.
func (u *upstream) expire(now time.Time) {
	u.claims = slices.DeleteFunc(u.claims, func(c claim) bool { return !now.Before(c.until) })
	if !now.Before(u.foreignTill) {
		u.foreign = 0
	}
	if u.left > 0 {
		part := float64(u.leftTill.Sub(now)) / float64(u.leftTill.Sub(u.leftAt))
		u.left = int64(float64(u.leftMost) * min(max(part, 0), 1))
	}
}

// measure notes that there was no room beside what this scheduler holds.
func (u *upstream) measure(total int64, now, till time.Time) {
	u.left = max(total-u.held, 0)
	u.leftMost, u.leftAt, u.leftTill = u.left, now, till
}

// room returns the memory that a call may count on.
func (u *upstream) room(total int64) int64 {
	left := total - u.held - max(u.foreign, u.left)
	for _, c := range u.claims {
		left -= c.bytes
	}
	return left
}

// askRoom asks an upstream how much memory others than this scheduler take. The lock
// is held.
func (s *Scheduler) askRoom(svc *service, u *upstream) {
	if u.asking {
		return
	}
	u.asking = true
	u.askedAt = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), roomTimeout)
		defer cancel()
		left, err := s.cfg.Invoker.FreeMemory(ctx, u.Upstream)
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		taken := max(svc.spec.ResultMemoryBytes-left-u.held, 0)
		switch {
		case err != nil:
			s.cfg.Logger.Info("memory of a stage upstream not known", zap.String("upstream", u.Incarnation), zap.Error(err))
		case !u.known:
			s.cfg.Logger.Info("memory of a stage upstream", zap.String("upstream", u.Incarnation),
				zap.Int64("free_bytes", left), zap.Int64("room_bytes", svc.spec.ResultMemoryBytes), zap.Int64("held_bytes", u.held))
			u.foreign = taken
			u.foreignTill = now.Add(svc.spec.ResultLifetime)
		default: // The answer is a little old, so that it may count what was freed.
			u.foreign = min(u.foreign, taken)
		}
		u.asking = false
		u.known = true
		u.foreignAt = now
		s.dispatch()
	}()
}

// refreshRoom asks the upstreams whose memory is not known, or was found taken a while
// ago.
func (s *Scheduler) refreshRoom(svc *service, now time.Time) {
	for _, u := range svc.upstreams {
		u.expire(now)
		if !u.leaving && (!u.known || u.foreign > 0 && now.Sub(u.foreignAt) >= roomAgain) {
			s.askRoom(svc, u)
		}
	}
}

// awaitsRoom reports whether an upstream was asked for the first time just now.
func (svc *service) awaitsRoom(now time.Time) bool {
	for _, u := range svc.upstreams {
		if u.asking && !u.known && !u.leaving && now.Sub(u.askedAt) < roomPatience {
			return true
		}
	}
	return false
}

// forgetRoom drops the account of memory after a time without any job.
func (s *Scheduler) forgetRoom(now time.Time) {
	if len(s.jobs) > 0 || now.Sub(s.idleSince) < roomKnown {
		return
	}
	s.tookOver = now
	for _, svc := range s.services {
		for _, u := range svc.upstreams {
			u.known = false
		}
	}
}

// free gives up a result; frees that come while a call is under way share the next.
// The memory counts as taken until the upstream has answered.
func (s *Scheduler) free(u *upstream, handle string, bytes int64) {
	u.toFree = append(u.toFree, handle)
	u.toBytes += bytes
	if u.freeing {
		return
	}
	u.freeing = true
	go s.freeAll(u)
}

// FreeResults gives up results of another owner that has ended.
func (s *Scheduler) FreeResults(made []PieceResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range made {
		if u := s.find(m); u != nil {
			s.free(u, m.Handle, 0)
		}
	}
}

func (s *Scheduler) freeAll(u *upstream) {
	for {
		s.mu.Lock()
		handles, bytes := u.toFree, u.toBytes
		u.toFree, u.toBytes = nil, 0
		if len(handles) == 0 {
			u.freeing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		err := s.cfg.Invoker.Free(ctx, u.Upstream, handles)
		cancel()
		s.freed(u, bytes, err)
	}
}

func (s *Scheduler) freed(u *upstream, bytes int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.held -= bytes
	if err != nil {
		s.cfg.Logger.Info("freeing results failed", zap.String("upstream", u.Incarnation), zap.Error(err))
		u.claim(bytes, time.Now().Add(resultLifetime))
	}
	s.dispatch()
}
