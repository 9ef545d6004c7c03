package stagework

import (
	"cmp"
	"slices"
	"time"

	"sequoiafork/internal/routing"
)

const (
	// LargeResultBytes is the size from which a result or the inputs of a piece count as
	// large: the piece then preferably runs in the data centre where they are needed.
	LargeResultBytes = 100 << 10
	// slowBatchSize is the maximum number of pieces in a call to a slow upstream.
	slowBatchSize = 2
	// dispatchRetryInterval is the time until the next dispatch pass while pieces are
	// queued, for example because upstreams are in backoff or out of memory. While the
	// queues are long, it is also the minimum time between two checks for jobs that can
	// no longer meet their deadline.
	dispatchRetryInterval = 25 * time.Millisecond
	// minDispatchInterval is the minimum time between two dispatch passes over long
	// queues, a hundredth of the users' shortest call. Events within it share one pass.
	minDispatchInterval = 2 * time.Millisecond
	// longQueuePieces is the number of queued pieces from which the queues are long. A
	// dispatch pass takes about 10 µs then.
	longQueuePieces = 100
)

// callTime returns the expected duration of a call.
func callTime(spec routing.BatchSpec, items int) time.Duration {
	return spec.CallOverhead + time.Duration(items)*spec.ItemTime
}

// dispatch starts every call that can be started. If the queues are long, it does so no
// earlier than minDispatchInterval after the previous pass. The caller holds the lock.
func (s *Scheduler) dispatch() {
	now := time.Now()
	gap := s.dispatchedAt.Add(minDispatchInterval).Sub(now)
	if gap <= 0 || s.queuedPieces() < longQueuePieces {
		s.dispatchNow(now)
		return
	}
	if s.postponedDispatch == nil {
		s.postponedDispatch = time.AfterFunc(gap, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.postponedDispatch = nil
			s.dispatchNow(time.Now())
		})
	}
}

func (s *Scheduler) queuedPieces() int {
	sum := 0
	for _, svc := range s.services {
		sum += len(svc.queue)
	}
	return sum
}

func (s *Scheduler) dispatchNow(now time.Time) {
	s.dispatchedAt = now
	again := false
	if s.queuedPieces() < longQueuePieces || now.Sub(s.deadlinesCheckedAt) >= dispatchRetryInterval {
		s.deadlinesCheckedAt = now
		s.rejectStarved(now)
		for _, svc := range s.services {
			s.rejectUnfinishable(svc, now)
		}
	}
	for _, svc := range s.services {
		again = s.dispatchService(svc, now) || again
	}
	if again && s.retryTimer == nil {
		s.retryTimer = time.AfterFunc(dispatchRetryInterval, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.retryTimer = nil
			s.dispatch()
		})
	}
}

// dispatchService starts calls of one service. It reports whether it must run again later:
// some of the remaining work may become startable without any further event.
func (s *Scheduler) dispatchService(svc *service, now time.Time) bool {
	if len(svc.queue) == 0 {
		return false
	}
	s.refreshFreeMemory(svc, now)
	for _, u := range svc.upstreams {
		s.freeLimited(svc, u, now)
	}
	if svc.awaitsFreeMemory(now) {
		return true
	}
	available := svc.availableFast(now)
	if len(available) > 0 {
		svc.sort(now)
	}
	for len(svc.queue) > 0 && len(available) > 0 {
		u := svc.chooseUpstream(available, svc.queue[0])
		pieces := s.fillBatch(svc, u, available, now)
		if len(pieces) > 0 {
			s.start(svc, u, pieces, now)
		}
		if len(pieces) == 0 || u.calls >= svc.spec.Concurrency || !u.hasTurn(now) {
			available = slices.DeleteFunc(available, func(o *upstream) bool { return o == u })
		}
	}
	s.dispatchToSlow(svc, now)
	return len(svc.queue) > 0
}

// dispatchToSlow sends the last pieces of the queue to slow upstreams. These pieces would
// wait anyway, and if the call becomes overdue they are also queued for another upstream.
func (s *Scheduler) dispatchToSlow(svc *service, now time.Time) {
	for _, u := range svc.available(now, true) {
		var pieces []*piece
		freeMemory := u.freeMemory(svc.spec.ResultMemoryBytes)
		for i := len(svc.queue) - 1; i >= 0 && len(pieces) < slowBatchSize; i-- {
			if p := svc.queue[i]; p.stage.ResultBytes <= freeMemory && !p.job.handingOff {
				freeMemory -= p.stage.ResultBytes
				pieces = append(pieces, p)
			}
		}
		if len(pieces) == 0 {
			continue
		}
		svc.queue = slices.DeleteFunc(svc.queue, func(p *piece) bool { return slices.Contains(pieces, p) })
		s.start(svc, u, pieces, now)
	}
}

// sort orders the queue: first by whether a job can still meet its soft deadline, then by
// priority, then by whether its workspace was within its share, then by soft deadline. The pieces of one job stay together.
func (svc *service) sort(now time.Time) {
	order := func(a, b *piece) int { return compareJobs(a.job, b.job, now) }
	if !slices.IsSortedFunc(svc.queue, order) {
		slices.SortStableFunc(svc.queue, order)
	}
}

func compareJobs(a, b *job, now time.Time) int {
	if a == b {
		return 0
	}
	if c := cmp.Compare(softDeadlineRank(a, now), softDeadlineRank(b, now)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := compareShares(a, b); c != 0 {
		return c
	}
	if c := a.SoftDeadline.Compare(b.SoftDeadline); c != 0 {
		return c
	}
	return cmp.Compare(a.RequestID, b.RequestID)
}

// softDeadlineRank returns 0 if j may still meet its soft deadline, and 1 if not. A job whose
// remaining stages take longer than the time left counts as one that does not, since it would
// otherwise be the most urgent of all until its soft deadline passes.
func softDeadlineRank(j *job, now time.Time) int {
	if j.missesSoftDeadline || now.After(j.lateAfter) {
		return 1
	}
	return 0
}

// availableFast returns the upstreams that can take a call, except the slow ones.
func (svc *service) availableFast(now time.Time) []*upstream { return svc.available(now, false) }

// available returns the upstreams that can take a call: either only the slow ones or only
// the others.
func (svc *service) available(now time.Time, slow bool) []*upstream {
	var list []*upstream
	best := svc.minSlowdown()
	for _, u := range svc.upstreams {
		if u.draining || !u.memoryKnown && !u.limited() || u.paused(now) || !u.hasTurn(now) ||
			u.calls >= svc.spec.Concurrency || now.Before(u.backoffUntil) || (u.slowdown >= slowThreshold*best) != slow {
			continue
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return list
}

// minSlowdown returns the slowdown of the fastest upstream that gets work, but at least 1,
// because the pieces of some stages take less time than the service's specification says.
func (svc *service) minSlowdown() float64 {
	best := 0.0
	for _, u := range svc.upstreams {
		if !u.draining && (best == 0 || u.slowdown < best) {
			best = u.slowdown
		}
	}
	return max(best, 1)
}

// hasAlternative reports whether an upstream other than u is expected to accept work soon.
func (svc *service) hasAlternative(u *upstream) bool {
	best := svc.minSlowdown()
	for _, o := range svc.upstreams {
		if o != u && !o.draining && !o.paused(time.Now()) && o.failures == 0 && o.slowdown < slowThreshold*best {
			return true
		}
	}
	return false
}

// chooseUpstream returns the best upstream for a piece: one in the preferred data centre
// if possible, then the one with the most free memory.
func (svc *service) chooseUpstream(available []*upstream, p *piece) *upstream {
	preferredDataCentre := p.preferredDataCentre()
	var best *upstream
	better := func(u *upstream) bool {
		if best == nil {
			return true
		}
		if near := u.DataCentre == preferredDataCentre; near != (best.DataCentre == preferredDataCentre) {
			return near
		}
		return u.freeMemory(svc.spec.ResultMemoryBytes) > best.freeMemory(svc.spec.ResultMemoryBytes)
	}
	for _, u := range available {
		if u.freeMemory(svc.spec.ResultMemoryBytes) >= p.stage.ResultBytes && better(u) {
			best = u
		}
	}
	if best == nil {
		return available[0]
	}
	return best
}

// fillBatch removes the pieces of one call from the queue. A piece with large inputs or a
// large result is left for an upstream in its preferred data centre, if one there is
// available or will be in time. Once a piece did not fit into memory, no later piece of the same
// size or larger is taken before it.
func (s *Scheduler) fillBatch(svc *service, u *upstream, available []*upstream, now time.Time) []*piece {
	freeMemory := u.freeMemory(svc.spec.ResultMemoryBytes)
	var pieces []*piece
	barrier := svc.spec.ResultMemoryBytes + 1
	deferredPieces := make(map[*upstream]int)
	rest := svc.queue[:0]
	for i, p := range svc.queue {
		if len(pieces) == svc.spec.MaxSize {
			rest = append(rest, svc.queue[i:]...)
			break
		}
		size := p.stage.ResultBytes
		switch {
		case size >= barrier || p.job.handingOff:
			rest = append(rest, p)
		case size > freeMemory:
			barrier = size
			rest = append(rest, p)
		case p.crossDataCentreBytes() >= LargeResultBytes && s.deferToNearer(svc, u, available, p, deferredPieces, now):
			rest = append(rest, p)
		default:
			freeMemory -= size
			pieces = append(pieces, p)
		}
	}
	svc.queue = rest
	return pieces
}

// deferToNearer reports whether a piece is left for an upstream in its preferred data
// centre. deferredPieces counts the pieces that are left for each upstream.
func (s *Scheduler) deferToNearer(svc *service, u *upstream, available []*upstream, p *piece, deferredPieces map[*upstream]int, now time.Time) bool {
	preferredDataCentre := p.preferredDataCentre()
	if preferredDataCentre == "" || u.DataCentre == preferredDataCentre {
		return false
	}
	for _, o := range svc.upstreams {
		if o.DataCentre != preferredDataCentre || deferredPieces[o] >= svc.spec.MaxSize || !s.canFinishInTime(svc, o, available, p, now) {
			continue
		}
		deferredPieces[o]++
		return true
	}
	return false
}

// canFinishInTime reports whether an upstream, possibly busy now, can run a piece so that
// its job meets the soft deadline.
func (s *Scheduler) canFinishInTime(svc *service, o *upstream, available []*upstream, p *piece, now time.Time) bool {
	if slices.Contains(available, o) {
		return o.freeMemory(svc.spec.ResultMemoryBytes) >= p.stage.ResultBytes
	}
	if o.draining || !o.memoryKnown || o.restrained(now) || o.failures > 0 || o.calls == 0 || o.slowdown >= slowThreshold*svc.minSlowdown() {
		return false
	}
	if now.After(o.callEnd.Add(overdueMargin)) {
		return false
	}
	end := o.callEnd.Add(callTime(svc.spec, svc.spec.MaxSize) + p.stage.minTime + p.job.TimeAfterStages)
	return end.Before(p.job.SoftDeadline)
}

// start makes one call in a new goroutine.
func (s *Scheduler) start(svc *service, u *upstream, pieces []*piece, now time.Time) {
	c := &call{
		service:   svc,
		upstream:  u,
		pieces:    pieces,
		startedAt: now,
		expected:  callTime(svc.spec, len(pieces)),
	}
	for _, p := range pieces {
		p.setState(running)
		p.calls++
		p.startedAt = now
		u.held += p.stage.ResultBytes
		item := Item{
			RequestID: p.job.RequestID,
			Stage:     p.stage.index,
			Piece:     p.index,
			TimeLeft:  p.job.timeLeft(now),
			Inputs:    p.job.inputs(p.stage),
			JobInput:  p.job.InputKey,
		}
		if len(p.stage.DependsOn) == 0 {
			item.InputKey = p.job.InputKey
		}
		c.items = append(c.items, item)
	}
	u.takeTurn(now)
	u.calls++
	u.callEnd = now.Add(time.Duration(u.slowdown * float64(c.expected)))
	go s.run(c)
}
