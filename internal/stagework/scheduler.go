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

// Scheduler owns the upstreams of all stage services. It is safe for concurrent use.
type Scheduler struct {
	cfg Config

	mu         sync.Mutex
	services   map[string]*service
	jobs       map[*job]struct{}
	retryTimer *time.Timer
	// soon is a look that was put off, dispatchedAt when the last one was.
	deferred     *time.Timer
	dispatchedAt time.Time
	// idleSince is when the last job was released.
	idleSince time.Time
	// tookOver is when the first job came after a time without any.
	activeSince time.Time
	// delay is, by priority, how much later than foreseen jobs have been done.
	delay map[int]time.Duration
	// expiredAt is when the hopeless jobs were last given up.
	expiredAt time.Time
}

// service is the upstreams of one service and the pieces that wait for them.
type service struct {
	name      string
	spec      routing.BatchSpec
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
		x := newService(svc)
		x.upstreams = make(map[string]*upstream)
		s.services[svc.Name] = x
	}
	for j := range s.jobs {
		s.bind(j)
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
			known.draining = false
			continue
		}
		svc.upstreams[u.Incarnation] = newUpstream(u)
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
	s.dispatch()
}

// Submit takes a job, or returns a *RefusedError if it can't be expected to be done
// in time.
func (s *Scheduler) Submit(j Job) (*SubmittedJob, error) {
	if err := j.validate(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.forgetFreeMemory(now)
	f, err := s.admit(j, now)
	s.logAdmission(j, f, err, now)
	if err != nil {
		return nil, err
	}
	x := newJob(j)
	x.expectedEnd = f.end
	x.missesObjective = f.missesObjective
	x.adoptResults(s.findHolder)
	s.bind(x)
	s.jobs[x] = struct{}{}
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
	s.dispatch()
	return &SubmittedJob{
		scheduler: s,
		job:       x,
	}, nil
}

// logAdmission logs what a job was taken or refused by.
func (s *Scheduler) logAdmission(j Job, f forecast, err error, now time.Time) {
	message := "job taken"
	switch {
	case err != nil:
		message = "job refused"
	case !logging.Sampled(j.RequestID):
		return
	}
	s.cfg.Logger.Info(message, zap.String("request_id", j.RequestID), zap.Int("priority", j.Priority),
		zap.Duration("forecast_ms", f.end.Sub(now)), zap.Bool("late", f.missesObjective), zap.Duration("delay_ms", s.delay[j.Priority]),
		zap.Duration("remaining_ms", j.TimeAfterStages), zap.Duration("objective_ms", j.SoftDeadline.Sub(now)),
		zap.Int("jobs", len(s.jobs)), zap.Int("queued_pieces", s.queuedPieces()), zap.Int("results", len(j.Results)), zap.Error(err))
}

// Len returns the number of jobs that were not released.
func (s *Scheduler) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.jobs)
}

// bind sets what the stages of a job take from the services.
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

// finish ends the wait for a job. Its results stay until it is released.
func (s *Scheduler) finish(j *job, err error) {
	if j.finished {
		return
	}
	j.finished = true
	j.err = err
	s.updateDelay(j, err)
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
	if svc := p.stage.service; svc != nil {
		svc.queue = slices.DeleteFunc(svc.queue, func(q *piece) bool { return q == p })
	}
}

// unqueueJob takes all pieces of a job out of the queues.
func (s *Scheduler) unqueueJob(j *job) {
	for _, st := range j.stages {
		if st.queued > 0 {
			st.service.queue = slices.DeleteFunc(st.service.queue, func(p *piece) bool { return p.job == j })
		}
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
	s.unqueueJob(j)
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
	p.setState(freed)
	s.freeResult(p.holder, p.handle, p.stage.ResultBytes)
}

// complete takes in the result of a piece. A second one is freed at once.
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
	j.results = append(j.results, PieceResult{
		Stage:       p.stage.index,
		Piece:       p.index,
		Handle:      handle,
		Incarnation: u.Incarnation,
		Addr:        u.Addr,
	})
	select {
	case j.resultAdded <- struct{}{}:
	default: // A change is already told.
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

// freeInputs frees the results of the stages that p was the last piece to take.
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
