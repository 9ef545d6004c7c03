package stagework

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
)

// call is one batch of pieces in progress on an upstream.
type call struct {
	service   *service
	upstream  *upstream
	pieces    []*piece
	items     []Item
	startedAt time.Time
	expected  time.Duration
	ended     bool
}

// run makes the call and handles its results.
func (s *Scheduler) run(c *call) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(callTimeoutFactor*float64(c.expected))+callTimeoutMargin)
	overdue := time.AfterFunc(time.Duration(overdueFactor*float64(c.expected))+overdueMargin, func() { s.overdue(c) })
	results, err := s.cfg.Invoker.Run(ctx, c.upstream.Upstream, c.items)
	cancel()
	overdue.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.ended = true
	c.upstream.calls--
	for _, p := range c.pieces {
		p.calls--
	}
	if err == nil && len(results) == len(c.items) {
		c.upstream.observe(time.Since(c.startedAt), c.expected)
		s.handleResults(c, results)
	} else {
		s.handleCallFailure(c, err)
	}
	for _, p := range c.pieces {
		s.handOff(p.job)
	}
	s.dispatch()
}

// overdue queues the pieces of an overdue call for another upstream as well. The first
// result is used.
func (s *Scheduler) overdue(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ended || !c.service.hasAlternative(c.upstream) {
		return
	}
	c.upstream.observeOverdue(time.Since(c.startedAt), c.expected)
	s.cfg.Logger.Info("stage call is overdue", zap.String("upstream", c.upstream.Incarnation),
		zap.Int("pieces", len(c.pieces)), zap.Duration("expected_ms", c.expected))
	for _, p := range c.pieces {
		if p.state == running && p.calls == 1 && !p.job.finished {
			s.enqueue(p)
		}
	}
	s.dispatch()
}

func (s *Scheduler) handleResults(c *call, results []ItemResult) {
	u := c.upstream
	u.failures = 0
	for i, p := range c.pieces {
		if results[i].Status != Done {
			u.held -= p.stage.ResultBytes
		}
	}
	recorded := s.recordInheritedMemory(c, results)
	for i, p := range c.pieces {
		switch r := results[i]; r.Status {
		case Done:
			s.complete(p, u, r.Handle)
		case InsufficientMemory:
			s.handleNoMemory(c, p, recorded)
		case DeadlineExceeded:
			s.finish(p.job, &RejectedError{
				Message:    "the time for a stage has passed",
				RetryAfter: s.retryAfter(p.stage.Service),
			})
		case InputGone:
			s.recomputeInputs(p)
		case ItemFailed:
			s.retry(p, true, "a piece failed")
		}
	}
}

// recordInheritedMemory reports whether a call lacked memory so soon after this scheduler
// became active that results of the previous owner may still be there. It then records the
// memory that those use.
func (s *Scheduler) recordInheritedMemory(c *call, results []ItemResult) bool {
	now := time.Now()
	lackedMemory := slices.ContainsFunc(results, func(r ItemResult) bool { return r.Status == InsufficientMemory })
	if !lackedMemory || now.Sub(s.activeSince) > c.service.spec.ResultLifetime {
		return false
	}
	c.upstream.measureInherited(c.service.spec.ResultMemoryBytes, now, s.activeSince.Add(c.service.spec.ResultLifetime))
	return true
}

func (s *Scheduler) handleNoMemory(c *call, p *piece, recorded bool) {
	u := c.upstream
	if !recorded {
		u.reserve(p.stage.ResultBytes, time.Now().Add(noMemoryTTL))
	}
	s.cfg.Logger.Info("stage upstream has no free memory",
		zap.String("request_id", p.job.RequestID), zap.String("upstream", u.Incarnation), zap.Int64("held_bytes", u.held))
	s.retry(p, false, "no room for results")
}

// handleCallFailure queues the pieces of a failed call again. Unless the upstream rejected
// the call, it may hold results whose handles are unknown, so their memory stays reserved
// for the lifetime of a result.
func (s *Scheduler) handleCallFailure(c *call, err error) {
	u := c.upstream
	var busy *BusyError
	rejected := errors.As(err, &busy)
	now := time.Now()
	if !u.paused(now) {
		u.recordFailure(now, rejected)
	}
	s.cfg.Logger.Info("stage call failed", zap.String("upstream", u.Incarnation), zap.String("addr", u.Addr),
		zap.Int("pieces", len(c.pieces)), zap.Int("failures", u.failures), zap.Error(err))
	for _, p := range c.pieces {
		u.held -= p.stage.ResultBytes
		if !rejected {
			u.reserve(p.stage.ResultBytes, now.Add(c.service.spec.ResultLifetime))
		}
		s.retry(p, !rejected, "the upstream did not answer")
	}
}

// retry queues a piece again, unless another call includes it or its attempts are used up.
func (s *Scheduler) retry(p *piece, countAttempt bool, message string) {
	if countAttempt {
		p.attempts++
	}
	if p.job.finished || p.state != running || p.calls > 0 {
		return
	}
	if p.attempts >= maxAttempts {
		s.finish(p.job, &FailedError{
			Service: p.stage.Service,
			Message: message,
		})
		return
	}
	s.enqueue(p)
}

// recomputeInputs queues the stages that a piece depends on again, because an input no
// longer exists.
func (s *Scheduler) recomputeInputs(p *piece) {
	j := p.job
	if j.finished || p.state != running || p.calls > 0 {
		return
	}
	p.attempts++
	if p.attempts >= maxAttempts {
		s.finish(j, &FailedError{
			Service: p.stage.Service,
			Message: "an input is gone",
		})
		return
	}
	p.setState(blocked)
	for _, index := range p.stage.DependsOn {
		input := j.stages[index]
		if input.unfinished > 0 {
			continue // Another piece has caused it to be recomputed.
		}
		s.recompute(j, input)
	}
	for _, q := range p.stage.pieces {
		if q.state == queued {
			q.setState(blocked)
		}
	}
	for _, svc := range s.services {
		svc.queue = slices.DeleteFunc(svc.queue, func(q *piece) bool { return q.state == blocked })
	}
	s.enqueueReady(j)
}

// recompute queues all pieces of a stage again, and those of earlier stages whose results
// were freed.
func (s *Scheduler) recompute(j *job, st *stage) {
	for _, q := range st.pieces {
		s.freePiece(q)
		q.setState(blocked)
		q.holder = nil
		st.unfinished++
		for _, index := range st.DependsOn {
			j.stages[index].consumers++
		}
	}
	for _, index := range st.DependsOn {
		input := j.stages[index]
		if input.unfinished == 0 && len(input.pieces) > 0 && input.pieces[0].state == freed {
			s.recompute(j, input)
		}
	}
}
