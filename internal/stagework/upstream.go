package stagework

import (
	"context"
	"time"
)

const (
	// callPatience is how much longer than expected a call may take before its pieces
	// are made elsewhere; callMargin covers the network.
	callPatience = 2.5
	callMargin   = 250 * time.Millisecond
	// maxTries is how often a piece may be worked on.
	maxTries = 3
	// fullPause and failurePause are the first pauses after a refusal and a failure.
	fullPause    = 60 * time.Millisecond
	failurePause = 250 * time.Millisecond
	failureMost  = 4 * time.Second
	// roomPause is how long memory that was found taken is believed to be taken.
	roomPause = 400 * time.Millisecond
	// freeTimeout bounds one call that frees results.
	freeTimeout = time.Second
	// paceWeight is the weight of the newest call in an upstream's pace.
	paceWeight = 0.3
)

// upstream is one process that does stages, with the account of its memory.
type upstream struct {
	Upstream
	calls   int
	leaving bool
	// held is the memory of results that this scheduler has there or expects there.
	held int64
	// unseen is memory taken by results that this scheduler has no handles for.
	unseen    []claim
	pauseTill time.Time
	failures  int
	// pace is the time of its calls against what is expected, one for an exact fit.
	pace float64

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

func (u *upstream) noteFailure(now time.Time, refused bool) {
	u.failures++
	pause := failurePause
	if refused {
		pause = fullPause
	}
	u.pauseTill = now.Add(min(pause<<min(u.failures-1, 8), failureMost))
}

func (u *upstream) noteNoRoom(now time.Time, bytes int64) {
	u.noteUnseen(now.Add(roomPause), bytes)
}

func (u *upstream) noteUnseen(until time.Time, bytes int64) {
	u.unseen = append(u.unseen, claim{
		bytes: bytes,
		until: until,
	})
}

// room returns the memory that a call may count on.
func (u *upstream) room(total int64, now time.Time) int64 {
	left := total - u.held
	kept := u.unseen[:0]
	for _, c := range u.unseen {
		if now.Before(c.until) {
			kept = append(kept, c)
			left -= c.bytes
		}
	}
	u.unseen = kept
	return left
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

func (s *Scheduler) freeAll(u *upstream) {
	for {
		s.mu.Lock()
		handles, bytes := u.toFree, u.toBytes
		u.toFree, u.toBytes = nil, 0
		if len(handles) == 0 {
			u.freeing = false
			s.dispatch()
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
		s.cfg.Logger.Info("freeing results failed: " + err.Error())
		if svc, ok := s.services[u.Service]; ok {
			u.noteUnseen(time.Now().Add(svc.spec.ResultLifetime), bytes)
		}
	}
	s.dispatch()
}
