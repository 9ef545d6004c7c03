package stagework

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// MaxPieces bounds the pieces of one stage of one job.
	MaxPieces = 4096
	// maxStages bounds the stages of one job.
	maxStages = 256
)

// job is a submitted Job and its progress. The scheduler's lock guards it.
type job struct {
	Job
	stages          []*stage
	unfinishedFinal int // pieces of final stages that still have to run
	finished        bool
	done            chan struct{}
	err             error
	handles         []string
	// newResults are the results that were created here. resultAdded signals that there is
	// another one.
	newResults  []PieceResult
	resultAdded chan struct{}
	// generation is that of the handle in use: it increases when a job is submitted again.
	generation int
	// handingOff is set while the job waits to be handed off to another owner.
	handingOff bool
	// missesSoftDeadline is set if the job runs after all jobs that can meet their soft
	// deadline.
	missesSoftDeadline bool
	// softStageDeadline is when the stages must end for the job to meet its soft deadline.
	softStageDeadline time.Time
	// lateAfter is when it is too late to begin the waiting pieces for the job to meet its soft
	// deadline.
	lateAfter time.Time
	// expectedEnd is the estimate, made at admission, of when the stages end.
	expectedEnd time.Time
	// final reports for each stage whether no other stage depends on it.
	final []bool
}

// stage is one stage of a job.
type stage struct {
	Stage
	index  int
	pieces []*piece
	// service is nil while the service is unknown.
	service *service
	// minTime is the shortest time in which this stage and those that depend on it can
	// run.
	minTime time.Duration
	// waiting is the number of pieces that are blocked or queued, queued the number of
	// those that are queued.
	waiting int
	queued  int
	// unfinished is the number of pieces that still have to run.
	unfinished int
	// consumers is the number of pieces of later stages that still need the results.
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

// piece is one unit of work of a stage.
type piece struct {
	job      *job
	stage    *stage
	index    int
	state    pieceState
	attempts int
	// startedAt is when the last call that includes the piece began.
	startedAt time.Time
	// calls is the number of calls in progress that include the piece: an overdue one has
	// two.
	calls int
	// holder is the upstream that holds the result, under handle, once state is finished.
	holder *upstream
	handle string
}

// setState changes the state of a piece and the counts of its stage.
func (p *piece) setState(state pieceState) {
	waiting := p.stage.waiting
	p.stage.countState(p.state, -1)
	p.state = state
	p.stage.countState(state, 1)
	if (waiting > 0) != (p.stage.waiting > 0) {
		p.job.updateLateAfter()
	}
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

// adoptResults marks as finished the pieces whose results were handed over by a
// previous owner and whose upstreams are known here, and counts the remaining work.
func (j *job) adoptResults(find func(PieceResult) *upstream) {
	for _, r := range j.Results {
		if r.Stage < 0 || r.Stage >= len(j.stages) || r.Piece < 0 || r.Piece >= len(j.stages[r.Stage].pieces) {
			continue
		}
		if u := find(r); u != nil {
			p := j.stages[r.Stage].pieces[r.Piece]
			p.setState(finished)
			p.holder = u
			p.handle = r.Handle
			u.held += p.stage.ResultBytes
		}
	}
	for i := len(j.stages) - 1; i >= 0; i-- {
		j.stages[i].countUnfinished(j)
	}
}

// countUnfinished counts the remaining work of a stage. Later stages must have been
// counted before.
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
			p.setState(freed) // Later stages no longer need the result.
		}
	}
	if j.final[s.index] {
		j.unfinishedFinal += s.unfinished
	}
}

// validate returns an error if a stage depends on itself or on a later stage, or if there are too many stages or
// pieces, which could use up the memory.
func (j Job) validate() error {
	if len(j.Stages) > maxStages {
		return &FailedError{
			Message: fmt.Sprintf("the job has %d stages, at most %d are possible", len(j.Stages), maxStages),
		}
	}
	for i, st := range j.Stages {
		if st.Pieces < 0 || st.Pieces > MaxPieces {
			return &FailedError{
				Service: st.Service,
				Message: fmt.Sprintf("the stage has %d pieces, 0 to %d are possible", st.Pieces, MaxPieces),
			}
		}
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

// ready reports whether all stages that s depends on are finished.
func (j *job) ready(s *stage) bool {
	for _, input := range s.DependsOn {
		if j.stages[input].unfinished > 0 {
			return false
		}
	}
	return true
}

// inputs returns the handles of the results that a piece of s takes as input.
func (j *job) inputs(s *stage) []string {
	var handles []string
	for _, input := range s.DependsOn {
		for _, p := range j.stages[input].pieces {
			handles = append(handles, p.handle)
		}
	}
	return handles
}

// preferredDataCentre returns the data centre of the piece's inputs or, without inputs,
// the one where the job's results are fetched to.
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

// crossDataCentreBytes returns the bytes that cross data centres if a piece runs outside of its
// preferred one: its inputs, which every piece fetches by itself, or its result, whichever
// is larger.
func (p *piece) crossDataCentreBytes() int64 {
	inputs := int64(0)
	for _, index := range p.stage.DependsOn {
		input := p.job.stages[index]
		inputs += int64(len(input.pieces)) * input.ResultBytes
	}
	return max(inputs, p.stage.ResultBytes)
}

// SubmittedJob is the handle of an accepted job. Release must be called once its results
// are no longer needed, even if the job failed.
type SubmittedJob struct {
	scheduler  *Scheduler
	job        *job
	generation int
}

// Wait returns the handles of the results of all final stages, in order. The error is a
// *RejectedError, a *FailedError, an *OwnerChangedError or the cause of ctx.
func (j *SubmittedJob) Wait(ctx context.Context) ([]string, error) {
	select {
	case <-j.job.done:
		return j.job.handles, j.job.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// Results returns the results from the index since on, and a channel that signals the next
// one.
func (j *SubmittedJob) Results(since int) ([]PieceResult, <-chan struct{}) {
	j.scheduler.mu.Lock()
	defer j.scheduler.mu.Unlock()
	return slices.Clone(j.job.newResults[since:]), j.job.resultAdded
}

// Done returns a channel that is closed when Wait would return at once.
func (j *SubmittedJob) Done() <-chan struct{} { return j.job.done }

// Release ends the job: queued pieces are dropped and finished results are freed. It does nothing
// if another handle has taken over the job.
func (j *SubmittedJob) Release() {
	j.scheduler.release(j)
}

// timeLeft returns the time until the stages must end for the response to start while the caller
// still waits.
func (j *job) timeLeft(now time.Time) time.Duration {
	return j.patience().Sub(now) - j.TimeAfterStages
}

// updateLateAfter computes lateAfter after a change of the waiting stages or of their times.
func (j *job) updateLateAfter() { j.lateAfter = j.softStageDeadline.Add(-j.minTimeLeft()) }

// minTimeLeft returns the shortest time in which the waiting pieces and the stages after them
// can run.
func (j *job) minTimeLeft() time.Duration {
	var longest time.Duration
	for _, st := range j.stages {
		if st.waiting > 0 {
			longest = max(longest, st.minTime)
		}
	}
	return longest
}
