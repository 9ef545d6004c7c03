package stagework

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/logging"
	"sequoiafork/internal/routing"
)

// configurationTimeout is how long a job waits for the first services and upstreams.
const configurationTimeout = 500 * time.Millisecond

// Scheduler schedules the work of the upstreams of all stage services. It is safe for
// concurrent use.
type Scheduler struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*service
	// shares is nil if workspaces have no shares.
	shares *workspaceShares
	jobs   map[*job]struct{}
	// upstreamsKnown reports that upstreams have been set.
	upstreamsKnown bool
	// byRequest maps request IDs to the jobs that were submitted last for them.
	byRequest  map[string]*job
	retryTimer *time.Timer
	// postponedDispatch is the timer of a postponed dispatch pass. dispatchedAt is when the
	// last pass ran.
	postponedDispatch *time.Timer
	dispatchedAt      time.Time
	// idleSince is when a job was last released.
	idleSince time.Time
	// activeSince is when a job was last submitted after the scheduler had had none for
	// idleMemoryTTL.
	activeSince time.Time
	// overrun is, by priority, how much later than forecast the stages of jobs end.
	overrun map[int]overrun
	// deadlinesCheckedAt is when the scheduler last checked for jobs that can no longer
	// meet their deadline.
	deadlinesCheckedAt time.Time
}

// service holds the upstreams of a stage service and the pieces that wait for them.
type service struct {
	name      string
	spec      routing.BatchSpec
	upstreams map[string]*upstream
	queue     []*piece
	// measuredResultTime is a moving average of how long large results stayed in memory; zero
	// before any was measured.
	measuredResultTime time.Duration
}

// New returns a scheduler without services.
func New(cfg Config) *Scheduler {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	cfg.Invoker = containedInvoker{
		invoker: cfg.Invoker,
		logger:  cfg.Logger,
	}
	return &Scheduler{
		cfg:       cfg,
		services:  make(map[string]*service),
		shares:    newWorkspaceShares(cfg.FairShares),
		jobs:      make(map[*job]struct{}),
		byRequest: make(map[string]*job),
		overrun:   make(map[int]overrun),
	}
}

// SetServices adds the stage services of a new configuration and updates known ones.
// Services without a batch specification are ignored.
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
		x := newService(svc)
		x.upstreams = make(map[string]*upstream)
		s.services[svc.Name] = x
	}
	for j := range s.jobs {
		s.bind(j)
		s.enqueueReady(j)
	}
	s.dispatch()
}

// SetUpstreams replaces the upstreams that may get work. Those that are no longer listed
// finish the calls that they have.
func (s *Scheduler) SetUpstreams(list []Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	first := !s.upstreamsKnown && len(list) > 0
	s.upstreamsKnown = s.upstreamsKnown || first
	named := make(map[string]bool, len(list))
	for _, u := range list {
		svc, ok := s.services[u.Service]
		if !ok {
			continue
		}
		named[u.Incarnation] = true
		if known, ok := svc.upstreams[u.Incarnation]; ok {
			known.draining = false
			s.updateCold(known, u.Cold, now)
			continue
		}
		x := newUpstream(u)
		s.updateCold(x, u.Cold, now)
		x.queryOrder = s.queryOrder(u)
		svc.upstreams[u.Incarnation] = x
	}
	for _, svc := range s.services {
		for id, u := range svc.upstreams {
			if named[id] {
				continue
			}
			u.draining = true
			if u.calls == 0 && u.held == 0 {
				delete(svc.upstreams, id)
			}
		}
	}
	if first {
		for j := range s.jobs {
			s.enqueueReady(j)
		}
	}
	s.dispatch()
}

// Submit accepts a job, or returns a *RejectedError if it is not expected to finish in
// time.
func (s *Scheduler) Submit(j Job) (*SubmittedJob, error) {
	if err := j.validate(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if attached := s.reattach(j); attached != nil {
		return attached, nil
	}
	now := time.Now()
	s.forgetFreeMemory(now)
	j = s.shares.offer(j, s.services, now)
	f, err := s.admitByShare(j, now)
	s.shares.recordAdmission(j, f, err, now)
	s.logAdmission(j, f, err, now)
	if err != nil {
		return nil, err
	}
	x := newJob(j)
	x.expectedEnd = f.end
	x.missesSoftDeadline = f.missesSoftDeadline
	x.adoptResults(s.findHolder)
	s.bind(x)
	s.jobs[x] = struct{}{}
	s.byRequest[j.RequestID] = x
	for _, st := range x.stages {
		if st.unfinished == 0 && st.consumers == 0 && !x.final[st.index] {
			for _, p := range st.pieces {
				s.freePiece(p)
			}
		}
	}
	if x.unfinishedFinal == 0 {
		s.finish(x, nil)
	}
	s.enqueueReady(x)
	s.awaitConfiguration(x)
	s.dispatch()
	return s.handle(x), nil
}

// configured reports whether services and upstreams have been set.
func (s *Scheduler) configured() bool { return len(s.services) > 0 && s.upstreamsKnown }

// awaitConfiguration rejects a job after configurationTimeout if no service or no upstream is known by
// then. A daemon that has just started gets jobs of others before it has read routes and upstreams.
func (s *Scheduler) awaitConfiguration(j *job) {
	if s.configured() || j.finished {
		return
	}
	time.AfterFunc(configurationTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.configured() {
			s.finish(j, &RejectedError{
				Message:    "no stage services or upstreams are known yet",
				RetryAfter: configurationTimeout,
			})
		}
	})
}

// logAdmission logs whether a job was accepted or rejected, and why. Accepted jobs are
// sampled.
func (s *Scheduler) logAdmission(j Job, f forecast, err error, now time.Time) {
	message := "job accepted"
	switch {
	case err != nil:
		message = "job rejected"
	case !logging.Sampled(j.RequestID):
		return
	}
	s.cfg.Logger.With(j.shareFields()...).Info(message, zap.String("request_id", j.RequestID), zap.Int("priority", j.Priority),
		zap.Duration("forecast_ms", f.end.Sub(now)), zap.Bool("late", f.missesSoftDeadline), zap.Duration("delay_ms", s.overrun[j.Priority].bound()),
		zap.Duration("remaining_ms", j.TimeAfterStages), zap.Duration("objective_ms", j.SoftDeadline.Sub(now)),
		zap.Int("jobs", len(s.jobs)), zap.Int("queued_pieces", s.queuedPieces()), zap.Int("results", len(j.Results)), zap.Error(err))
}

// Len returns the number of jobs that have not been released.
func (s *Scheduler) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.jobs)
}

// bind sets the services of a job's stages and the minimum times that follow from them.
func (s *Scheduler) bind(j *job) {
	for _, st := range slices.Backward(j.stages) {
		st.service = s.services[st.Service]
		st.minTime = 0
		for _, next := range j.stages[st.index+1:] {
			if next.Pieces > 0 && slices.Contains(next.DependsOn, st.index) {
				st.minTime = max(st.minTime, next.minTime)
			}
		}
		if st.service != nil {
			st.minTime += callTime(st.service.spec, 1)
		}
	}
	j.updateLateAfter()
}

// enqueueReady queues the blocked pieces whose inputs are finished. They stay blocked while no
// service or no upstream is known.
func (s *Scheduler) enqueueReady(j *job) {
	if j.finished || !s.configured() {
		return
	}
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
	svc := p.stage.service
	if svc == nil {
		s.finish(p.job, &FailedError{
			Service: p.stage.Service,
			Message: "the service has no batches",
		})
		return
	}
	p.setState(queued)
	svc.queue = append(svc.queue, p)
}

// finish sets the outcome of a job and wakes up Wait. The results of a job that succeeded
// stay until it is released.
func (s *Scheduler) finish(j *job, err error) {
	if j.finished {
		return
	}
	j.finished = true
	j.err = err
	s.recordEnd(j, err)
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

// unqueue removes a piece from its queue.
func (s *Scheduler) unqueue(p *piece) {
	if svc := p.stage.service; svc != nil {
		svc.queue = slices.DeleteFunc(svc.queue, func(q *piece) bool { return q == p })
	}
}

// unqueueJob removes all pieces of a job from the queues.
func (s *Scheduler) unqueueJob(j *job) {
	for _, st := range j.stages {
		if st.queued > 0 {
			st.service.queue = slices.DeleteFunc(st.service.queue, func(p *piece) bool { return p.job == j })
		}
	}
}

func (s *Scheduler) release(h *SubmittedJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := h.job
	if _, ok := s.jobs[j]; !ok || h.generation != j.generation {
		return
	}
	delete(s.jobs, j)
	if s.byRequest[j.RequestID] == j {
		delete(s.byRequest, j.RequestID)
	}
	s.idleSince = time.Now()
	s.finish(j, context.Canceled)
	s.drop(j)
	s.dispatch()
}

// drop removes a job's pieces from the queues and frees its results. The result of a piece
// that is in a call is freed when the call ends.
func (s *Scheduler) drop(j *job) {
	s.unqueueJob(j)
	for _, st := range j.stages {
		for _, p := range st.pieces {
			s.freePiece(p)
		}
	}
}

// freePiece frees the result of a finished piece.
func (s *Scheduler) freePiece(p *piece) {
	if p.state != finished {
		return
	}
	p.setState(freed)
	if !p.startedAt.IsZero() && p.stage.service != nil {
		p.stage.service.observeResult(p.stage.ResultBytes, time.Since(p.startedAt))
	}
	s.freeResult(p.holder, p.handle, p.stage.ResultBytes)
}

// complete records the result of a piece. The result of a duplicate run is freed at once.
func (s *Scheduler) complete(p *piece, u *upstream, handle string) {
	if p.state == finished || p.state == freed || p.state == blocked {
		s.freeResult(u, handle, p.stage.ResultBytes)
		return
	}
	if p.state == queued {
		s.unqueue(p)
	}
	p.setState(finished)
	p.holder = u
	p.handle = handle
	j := p.job
	j.newResults = append(j.newResults, PieceResult{
		Stage:       p.stage.index,
		Piece:       p.index,
		Handle:      handle,
		Incarnation: u.Incarnation,
		Addr:        u.Addr,
	})
	select {
	case j.resultAdded <- struct{}{}:
	default: // The previous signal has not been received yet.
	}
	if j.finished {
		s.freePiece(p)
		return
	}
	p.stage.unfinished--
	s.freeInputs(p)
	if j.final[p.stage.index] {
		j.unfinishedFinal--
	}
	if j.unfinishedFinal == 0 {
		s.finish(j, nil)
		return
	}
	if p.stage.unfinished == 0 {
		s.enqueueReady(j)
	}
}

// freeInputs frees the results of the stages that have no consumers left once p is
// finished.
func (s *Scheduler) freeInputs(p *piece) {
	for _, index := range p.stage.DependsOn {
		input := p.job.stages[index]
		input.consumers--
		if input.consumers > 0 || p.job.final[index] {
			continue
		}
		for _, q := range input.pieces {
			s.freePiece(q)
		}
	}
}
