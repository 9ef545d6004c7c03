package stagework

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/logging"
	"sequoiafork/internal/routing"
)

// Scheduler owns the upstreams of all stage services. It is safe for concurrent use.
type Scheduler struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*service
	jobs     map[*job]struct{}
	wake     *time.Timer
	// idleSince is when the last job was released.
	idleSince time.Time
	// tookOver is when the first job came after a time without any.
	tookOver time.Time
	// delay is, by priority, how much later than foreseen jobs have been done.
	delay map[int]time.Duration
}

// service is the upstreams of one service and the pieces that wait for them.
type service struct {
	name      string
	spec      routing.Batch
	upstreams map[string]*upstream
	queue     []*piece
}

// New returns a scheduler without services.
func New(cfg Config) *Scheduler {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Scheduler{
		cfg:      cfg,
		services: make(map[string]*service),
		jobs:     make(map[*job]struct{}),
		delay:    make(map[int]time.Duration),
	}
}

// SetServices takes over the stage services of new tables. Services without a batch
// are left out.
func (s *Scheduler) SetServices(list []routing.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range list {
		if svc.Batch == nil {
			continue
		}
		if known, ok := s.services[svc.Name]; ok {
			known.spec = *svc.Batch
			continue
		}
		x := serviceOf(svc)
		x.upstreams = make(map[string]*upstream)
		s.services[svc.Name] = x
	}
	s.dispatch()
}

// SetUpstreams takes over the upstreams that may get work. Those that are missing
// finish the calls that they have.
func (s *Scheduler) SetUpstreams(list []Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := make(map[string]bool, len(list))
	for _, u := range list {
		svc, ok := s.services[u.Service]
		if !ok {
			continue
		}
		named[u.Incarnation] = true
		if known, ok := svc.upstreams[u.Incarnation]; ok {
			known.leaving = false
			continue
		}
		x := newUpstream(u)
		svc.upstreams[u.Incarnation] = x
		s.askRoom(svc, x)
	}
	for _, svc := range s.services {
		for id, u := range svc.upstreams {
			if named[id] {
				continue
			}
			u.leaving = true
			if u.calls == 0 && u.held == 0 {
				delete(svc.upstreams, id)
			}
		}
	}
	s.dispatch()
}

// Submit takes a job, or returns a *RefusedError if it can't be expected to be done
// in time.
func (s *Scheduler) Submit(j Job) (*Ticket, error) {
	if err := j.check(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.forgetRoom(now)
	end, err := s.admit(j, now)
	s.logAdmission(j, end, err, now)
	if err != nil {
		return nil, err
	}
	x := newJob(j)
	x.expected = end
	x.adopt(s.find)
	s.jobs[x] = struct{}{}
	for _, st := range x.stages {
		if st.open == 0 && st.readers == 0 && !x.final[st.index] {
			for _, p := range st.pieces {
				s.freePiece(p)
			}
		}
	}
	if x.unfinal == 0 {
		s.finish(x, nil)
	}
	s.enqueueReady(x)
	s.dispatch()
	return &Ticket{
		scheduler: s,
		job:       x,
	}, nil
}

// logAdmission logs what a job was taken or refused by.
func (s *Scheduler) logAdmission(j Job, end time.Time, err error, now time.Time) {
	message := "job taken"
	switch {
	case err != nil:
		message = "job refused"
	case !logging.Sampled(j.RequestID):
		return
	}
	queued := 0
	for _, svc := range s.services {
		queued += len(svc.queue)
	}
	s.cfg.Logger.Info(message, zap.String("request_id", j.RequestID), zap.Int("priority", j.Priority),
		zap.Duration("forecast_ms", end.Sub(now)), zap.Duration("delay_ms", s.delay[j.Priority]),
		zap.Duration("remaining_ms", j.Remaining), zap.Duration("objective_ms", j.Objective.Sub(now)),
		zap.Int("jobs", len(s.jobs)), zap.Int("queued_pieces", queued), zap.Int("results", len(j.Made)), zap.Error(err))
}

// find returns the upstream that holds a result, or nil.
func (s *Scheduler) find(m Made) *upstream {
	for _, svc := range s.services {
		if u, ok := svc.upstreams[m.Incarnation]; ok {
			return u
		}
	}
	return nil
}

// Move gives up the jobs that are not done, since another daemon owns the upstreams
// now. A job moves once none of its pieces is in a call, so that no work is lost.
func (s *Scheduler) Move() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for j := range s.jobs {
		if !j.finished && !j.moving {
			j.moving = true
			s.move(j)
		}
	}
}

// move ends a job that is to move, unless a call has some of its pieces.
func (s *Scheduler) move(j *job) {
	if !j.moving || j.finished {
		return
	}
	for _, st := range j.stages {
		for _, p := range st.pieces {
			if p.calls > 0 {
				return
			}
		}
	}
	for _, svc := range s.services {
		svc.queue = slices.DeleteFunc(svc.queue, func(p *piece) bool { return p.job == j })
	}
	for _, st := range j.stages {
		for _, p := range st.pieces {
			if p.state == finished { // The next owner accounts for it.
				p.state = freed
				p.at.held -= p.stage.ResultBytes
			}
		}
	}
	s.finish(j, &MovedError{})
}

// Len returns the number of jobs that were not released.
func (s *Scheduler) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.jobs)
}

// enqueueReady queues the pieces whose inputs are done.
func (s *Scheduler) enqueueReady(j *job) {
	for _, st := range j.stages {
		if !j.ready(st) {
			continue
		}
		for _, p := range st.pieces {
			if p.state == blocked {
				s.enqueue(p)
			}
		}
	}
}

func (s *Scheduler) enqueue(p *piece) {
	svc, ok := s.services[p.stage.Service]
	if !ok {
		s.finish(p.job, &FailedError{
			Service: p.stage.Service,
			Message: "the service has no batches",
		})
		return
	}
	p.state = queued
	svc.queue = append(svc.queue, p)
}

// finish ends the wait for a job. Its results stay until it is released.
func (s *Scheduler) finish(j *job, err error) {
	if j.finished {
		return
	}
	j.finished = true
	j.err = err
	s.learn(j, err)
	if err == nil {
		for i, st := range j.stages {
			if !j.final[i] {
				continue
			}
			for _, p := range st.pieces {
				j.handles = append(j.handles, p.handle)
			}
		}
	}
	close(j.done)
	if err != nil {
		s.drop(j)
	}
}

// unqueue takes a piece out of its queue.
func (s *Scheduler) unqueue(p *piece) {
	if svc, ok := s.services[p.stage.Service]; ok {
		svc.queue = slices.DeleteFunc(svc.queue, func(q *piece) bool { return q == p })
	}
}

func (s *Scheduler) release(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.jobs[j]; !ok {
		return
	}
	delete(s.jobs, j)
	s.idleSince = time.Now()
	s.finish(j, context.Canceled)
	s.drop(j)
	s.dispatch()
}

// drop takes a job's pieces out of the queues and frees its results. Pieces that are
// in a call are freed when the call ends.
func (s *Scheduler) drop(j *job) {
	for _, svc := range s.services {
		svc.queue = slices.DeleteFunc(svc.queue, func(p *piece) bool { return p.job == j })
	}
	for _, st := range j.stages {
		for _, p := range st.pieces {
			s.freePiece(p)
		}
	}
}

// freePiece gives up the result of a piece that is done.
func (s *Scheduler) freePiece(p *piece) {
	if p.state != finished {
		return
	}
	p.state = freed
	s.free(p.at, p.handle, p.stage.ResultBytes)
}

// complete takes in the result of a piece. A second one is freed at once.
func (s *Scheduler) complete(p *piece, u *upstream, handle string) {
	if p.state == finished || p.state == freed || p.state == blocked {
		s.free(u, handle, p.stage.ResultBytes)
		return
	}
	if p.state == queued {
		s.unqueue(p)
	}
	p.state = finished
	p.at = u
	p.handle = handle
	j := p.job
	j.made = append(j.made, Made{
		Stage:       p.stage.index,
		Piece:       p.index,
		Handle:      handle,
		Incarnation: u.Incarnation,
		Addr:        u.Addr,
	})
	select {
	case j.changed <- struct{}{}:
	default: // A change is already told.
	}
	if j.finished {
		s.freePiece(p)
		return
	}
	p.stage.open--
	s.freeInputs(p)
	if j.final[p.stage.index] {
		j.unfinal--
	}
	if j.unfinal == 0 {
		s.finish(j, nil)
		return
	}
	if p.stage.open == 0 {
		s.enqueueReady(j)
	}
}

// freeInputs frees the results of the stages that p was the last piece to take.
func (s *Scheduler) freeInputs(p *piece) {
	for _, index := range p.stage.After {
		input := p.job.stages[index]
		input.readers--
		if input.readers > 0 || p.job.final[index] {
			continue
		}
		for _, q := range input.pieces {
			s.freePiece(q)
		}
	}
}

// call is one call to an upstream.
type call struct {
	service  *service
	upstream *upstream
	pieces   []*piece
	items    []Item
	began    time.Time
	expected time.Duration
	ended    bool
}

// run makes the call and takes in what came of it.
func (s *Scheduler) run(c *call) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(callPatience*float64(c.expected))+callMargin)
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
		c.upstream.observe(time.Since(c.began), c.expected)
		s.takeResults(c, results)
	} else {
		s.callFailed(c, err)
	}
	for _, p := range c.pieces {
		s.move(p.job)
	}
	s.dispatch()
}

// overdue queues the pieces of a call that takes far too long for another upstream as
// well. The first result counts.
func (s *Scheduler) overdue(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ended || !c.service.hasOther(c.upstream) {
		return
	}
	c.upstream.observeOverdue(time.Since(c.began), c.expected)
	s.cfg.Logger.Info("stage call is overdue", zap.String("upstream", c.upstream.Incarnation),
		zap.Int("pieces", len(c.pieces)), zap.Duration("expected_ms", c.expected))
	for _, p := range c.pieces {
		if p.state == running && p.calls == 1 && !p.job.finished {
			s.enqueue(p)
		}
	}
	s.dispatch()
}

func (s *Scheduler) takeResults(c *call, results []ItemResult) {
	u := c.upstream
	u.failures = 0
	for i, p := range c.pieces {
		if results[i].Reason != Done {
			u.held -= p.stage.ResultBytes
		}
	}
	measured := s.measureRoom(c, results)
	for i, p := range c.pieces {
		switch r := results[i]; r.Reason {
		case Done:
			s.complete(p, u, r.Handle)
		case NoRoom:
			s.noRoom(c, p, measured)
		case Late:
			s.finish(p.job, &RefusedError{
				Message:    "the time for a stage has passed",
				RetryAfter: s.comeBack(p.stage.Service),
			})
		case InputGone:
			s.remakeInputs(p)
		case ItemFailed:
			s.retry(p, true, "a piece failed")
		}
	}
}

// measureRoom takes from a call that found no room, soon after this scheduler took over,
// how much memory the results of the owner before take.
func (s *Scheduler) measureRoom(c *call, results []ItemResult) bool {
	now := time.Now()
	full := slices.ContainsFunc(results, func(r ItemResult) bool { return r.Reason == NoRoom })
	if !full || now.Sub(s.tookOver) > c.service.spec.ResultLifetime {
		return false
	}
	c.upstream.measure(c.service.spec.RoomBytes, now)
	return true
}

func (s *Scheduler) noRoom(c *call, p *piece, measured bool) {
	u := c.upstream
	if !measured {
		u.claim(p.stage.ResultBytes, time.Now().Add(roomPause))
	}
	s.cfg.Logger.Info("stage upstream has no room",
		zap.String("request_id", p.job.RequestID), zap.String("upstream", u.Incarnation), zap.Int64("held_bytes", u.held))
	s.retry(p, false, "no room for results")
}

// callFailed takes in a call without an answer, whose results may come to be held on
// the upstream unseen.
func (s *Scheduler) callFailed(c *call, err error) {
	u := c.upstream
	var full *FullError
	refused := errors.As(err, &full)
	now := time.Now()
	u.noteFailure(now, refused)
	s.cfg.Logger.Info("stage call failed", zap.String("upstream", u.Incarnation), zap.String("addr", u.Addr),
		zap.Int("pieces", len(c.pieces)), zap.Int("failures", u.failures), zap.Error(err))
	for _, p := range c.pieces {
		u.held -= p.stage.ResultBytes
		if !refused {
			u.claim(p.stage.ResultBytes, now.Add(c.service.spec.ResultLifetime))
		}
		s.retry(p, !refused, "the upstream did not answer")
	}
}

// retry queues a piece again, unless another call has it or it has been worked on too
// often.
func (s *Scheduler) retry(p *piece, worked bool, message string) {
	if worked {
		p.tries++
	}
	if p.job.finished || p.state != running || p.calls > 0 {
		return
	}
	if p.tries >= maxTries {
		s.finish(p.job, &FailedError{
			Service: p.stage.Service,
			Message: message,
		})
		return
	}
	s.enqueue(p)
}

// remakeInputs makes the inputs of a piece again, because one of them is gone.
func (s *Scheduler) remakeInputs(p *piece) {
	j := p.job
	if j.finished || p.state != running || p.calls > 0 {
		return
	}
	p.tries++
	if p.tries >= maxTries {
		s.finish(j, &FailedError{
			Service: p.stage.Service,
			Message: "an input is gone",
		})
		return
	}
	p.state = blocked
	for _, index := range p.stage.After {
		input := j.stages[index]
		if input.open > 0 {
			continue // Another piece has asked for it already.
		}
		s.remake(j, input)
	}
	for _, q := range p.stage.pieces {
		if q.state == queued {
			q.state = blocked
		}
	}
	for _, svc := range s.services {
		svc.queue = slices.DeleteFunc(svc.queue, func(q *piece) bool { return q.state == blocked })
	}
	s.enqueueReady(j)
}

// remake queues all pieces of a stage again.
func (s *Scheduler) remake(j *job, st *stage) {
	for _, q := range st.pieces {
		s.freePiece(q)
		q.state = blocked
		q.at = nil
		st.open++
		for _, index := range st.After {
			j.stages[index].readers++
		}
	}
	for _, index := range st.After {
		input := j.stages[index]
		if input.open == 0 && len(input.pieces) > 0 && input.pieces[0].state == freed {
			s.remake(j, input)
		}
	}
}
