package stagework

import (
	"context"
	"slices"
	"time"
)

// job is a Job while it is worked on. The scheduler's lock guards it.
type job struct {
	Job
	stages          []*stage
	unfinishedFinal int // pieces of final stages that are not done
	finished        bool
	done            chan struct{}
	err             error
	handles         []string
	// made are the results so far; changed tells of a new one.
	results     []PieceResult
	resultAdded chan struct{}
	handingOff  bool
	// late says that the job goes behind all that can meet their objective.
	missesObjective bool
	// lateAt is when its objective can't be met any longer.
	softStageDeadline time.Time
	// expected is when the job was foreseen to be done.
	expectedEnd time.Time
	// final says of each stage whether no other stage takes its results.
	final []bool
}

// stage is one stage of a job.
type stage struct {
	Stage
	index  int
	pieces []*piece
	// service is nil while the service isn't known.
	service *service
	// least is the least time that the stages from this one on take.
	minTime time.Duration
	// waiting is the number of pieces that are blocked or queued, queued that of those
	// that are queued.
	waiting int
	queued  int
	// open is the number of pieces that are not done.
	unfinished int
	// readers is the number of pieces of later stages that still need the results.
	consumers int
}

type pieceState int

const (
	blocked pieceState = iota // waits for the results of other stages
	queued
	running
	finished
	freed
)

// piece is one unit of work.
type piece struct {
	job      *job
	stage    *stage
	index    int
	state    pieceState
	attempts int
	// calls is the number of calls that it is in.
	calls int
	// at holds the result once state is finished.
	holder *upstream
	handle string
}

// set changes the state of a piece and the counts of its stage.
func (p *piece) setState(state pieceState) {
	p.stage.countState(p.state, -1)
	p.state = state
	p.stage.countState(state, 1)
}

func (s *stage) countState(state pieceState, n int) {
	switch state {
	case blocked:
		s.waiting += n
	case queued:
		s.waiting += n
		s.queued += n
	case running, finished, freed:
	}
}

func newJob(j Job) *job {
	x := &job{
		Job:               j,
		softStageDeadline: j.softStageDeadline(),
		done:              make(chan struct{}),
		resultAdded:       make(chan struct{}, 1),
		final:             make([]bool, len(j.Stages)),
	}
	for i, st := range j.Stages {
		s := &stage{
			Stage:   st,
			index:   i,
			waiting: st.Pieces,
		}
		for n := range st.Pieces {
			s.pieces = append(s.pieces, &piece{
				job:   x,
				stage: s,
				index: n,
			})
		}
		x.stages = append(x.stages, s)
		x.final[i] = st.Pieces > 0
	}
	for _, s := range x.stages {
		for _, input := range s.DependsOn {
			if s.Pieces > 0 {
				x.final[input] = false
			}
		}
	}
	return x
}

// adopt takes over the results that another owner has had made, as far as their
// upstreams are known here, and counts what is left to do.
func (j *job) adoptResults(find func(PieceResult) *upstream) {
	for _, m := range j.Results {
		if m.Stage < 0 || m.Stage >= len(j.stages) || m.Piece < 0 || m.Piece >= len(j.stages[m.Stage].pieces) {
			continue
		}
		if u := find(m); u != nil {
			p := j.stages[m.Stage].pieces[m.Piece]
			p.setState(finished)
			p.holder = u
			p.handle = m.Handle
			u.held += p.stage.ResultBytes
		}
	}
	for i := len(j.stages) - 1; i >= 0; i-- {
		j.stages[i].countUnfinished(j)
	}
}

// count sets what is open of a stage whose later stages have been counted.
func (s *stage) countUnfinished(j *job) {
	for _, next := range j.stages {
		if slices.Contains(next.DependsOn, s.index) {
			s.consumers += next.unfinished
		}
	}
	needed := j.final[s.index] || s.consumers > 0
	for _, p := range s.pieces {
		switch {
		case p.state == finished:
		case needed:
			s.unfinished++
		default:
			p.setState(freed) // Later stages have taken it already.
		}
	}
	if j.final[s.index] {
		j.unfinishedFinal += s.unfinished
	}
}

// check reports stages that take results of themselves or of later stages.
func (j Job) validate() error {
	for i, st := range j.Stages {
		for _, input := range st.DependsOn {
			if input < 0 || input >= i {
				return &FailedError{
					Service: st.Service,
					Message: "the stage takes the results of a stage that is not before it",
				}
			}
		}
	}
	return nil
}

func (j Job) softStageDeadline() time.Time { return j.SoftDeadline.Add(-j.TimeAfterStages) }

// ready reports whether all inputs of s are done.
func (j *job) ready(s *stage) bool {
	for _, input := range s.DependsOn {
		if j.stages[input].unfinished > 0 {
			return false
		}
	}
	return true
}

// inputs returns the handles that a piece of s takes.
func (j *job) inputs(s *stage) []string {
	var handles []string
	for _, input := range s.DependsOn {
		for _, p := range j.stages[input].pieces {
			handles = append(handles, p.handle)
		}
	}
	return handles
}

// place returns the data centre where a piece is best made: where its inputs are, or
// where the results go.
func (p *piece) preferredDataCentre() string {
	for _, input := range p.stage.DependsOn {
		for _, q := range p.job.stages[input].pieces {
			if q.holder != nil {
				return q.holder.DataCentre
			}
		}
	}
	return p.job.DataCentre
}

// travels returns the bytes that cross between data centres if a piece is made in the
// wrong one: its inputs, which every piece fetches by itself, or its result.
func (p *piece) crossZoneBytes() int64 {
	inputs := int64(0)
	for _, index := range p.stage.DependsOn {
		input := p.job.stages[index]
		inputs += int64(len(input.pieces)) * input.ResultBytes
	}
	return max(inputs, p.stage.ResultBytes)
}

// SubmittedJob is a job that was taken. Release must be called once nobody needs its
// results any longer, also when it failed.
type SubmittedJob struct {
	scheduler *Scheduler
	job       *job
}

// Wait returns the handles of the results of all final stages, in order, or why
// there are none: a *RefusedError, a *FailedError, a *MovedError or the error of ctx.
func (t *SubmittedJob) Wait(ctx context.Context) ([]string, error) {
	select {
	case <-t.job.done:
		return t.job.handles, t.job.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// Results returns the results that have come since a number of them, and a channel that
// tells of the next.
func (t *SubmittedJob) Results(since int) ([]PieceResult, <-chan struct{}) {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	return slices.Clone(t.job.results[since:]), t.job.resultAdded
}

// Done is closed when Wait would return at once.
func (t *SubmittedJob) Done() <-chan struct{} { return t.job.done }

// Release ends the job: what is queued is dropped and what is done is freed.
func (t *SubmittedJob) Release() {
	t.scheduler.release(t.job)
}

// left is the time that the job's stages may still take.
func (j *job) timeLeft(now time.Time) time.Duration {
	return j.Deadline.Sub(now) - j.TimeAfterStages
}
