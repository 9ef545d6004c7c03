package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/panics"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/wire/peerpb"
)

// releaseTimeout bounds the time that the end of a call may take to reach the owner.
const releaseTimeout = time.Second

// StageWorker runs the stages of requests for peers.
type StageWorker interface {
	Submit(j stagework.Job) (*stagework.SubmittedJob, error)
}

// RemoteJob is the handle of a job that a peer has accepted.
type RemoteJob struct {
	stream grpc.BidiStreamingClient[peerpb.StageWorkRequest, peerpb.StageWorkResponse]
	cancel context.CancelFunc
	addr   string

	mu      sync.Mutex
	results []stagework.PieceResult
}

// StageWork submits a job to the member that owns the stage work. The error is a
// *stagework.RejectedError if the owner rejected the job, and a *CallError otherwise;
// timeout bounds the wait for the owner to accept or reject it.
func (n *Node) StageWork(ctx context.Context, m membership.Member, j stagework.Job, timeout time.Duration) (*RemoteJob, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &RemoteJob{
		cancel:  cancel,
		addr:    m.PeerAddr,
		results: slices.Clone(j.Results),
	}
	timer := time.AfterFunc(timeout, cancel)
	err := r.open(ctx, n, j)
	if !timer.Stop() && err == nil {
		err = r.callError(context.DeadlineExceeded)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return r, nil
}

func (r *RemoteJob) open(ctx context.Context, n *Node, j stagework.Job) error {
	conn, err := n.conn(ctx, r.addr)
	if err != nil {
		return r.callError(err)
	}
	r.stream, err = peerpb.NewPeerClient(conn).StageWork(ctx)
	if err != nil {
		return r.callError(err)
	}
	if err := r.stream.Send(stageWorkRequest(j)); err != nil {
		return r.callError(err)
	}
	resp, err := r.stream.Recv()
	if err != nil {
		return r.callError(err)
	}
	if resp.GetTaken() {
		return nil
	}
	return stageWorkError(resp)
}

func (r *RemoteJob) callError(err error) error {
	return &CallError{
		Addr:      r.addr,
		MaybeSent: r.stream != nil,
		Err:       err,
	}
}

// Wait returns the handles of the results of the final stages. The error is a
// *stagework.RejectedError, a *stagework.FailedError, a *stagework.OwnerChangedError or
// a *CallError.
func (r *RemoteJob) Wait() ([]string, error) {
	for {
		resp, err := r.stream.Recv()
		if err != nil {
			return nil, r.callError(err)
		}
		r.addResults(resp.GetMade())
		switch {
		case resp.GetRefused() != nil || resp.GetFailed() != "" || resp.GetMoved():
			return nil, stageWorkError(resp)
		case len(resp.GetHandles()) > 0:
			return resp.GetHandles(), nil
		}
	}
}

// addResults adds the results of pieces that have none yet, since an owner that kept the job
// reports all of them again.
func (r *RemoteJob) addResults(results []*peerpb.StageResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range pieceResults(results) {
		same := func(q stagework.PieceResult) bool { return q.Stage == p.Stage && q.Piece == p.Piece }
		if i := slices.IndexFunc(r.results, same); i >= 0 {
			r.results[i] = p
			continue
		}
		r.results = append(r.results, p)
	}
}

// Results returns the piece results that the owner has reported so far. A piece is one
// unit of a stage's work, run on its own and batched with others.
func (r *RemoteJob) Results() []stagework.PieceResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.results)
}

// Release ends the job; the owner then frees its results.
func (r *RemoteJob) Release() {
	_ = r.stream.CloseSend() // A broken call needs no end.
	// The owner ends the call when it has seen that. Cancelling it earlier would look like a
	// broken connection.
	time.AfterFunc(releaseTimeout, r.cancel)
}

// AwaitEnd waits until the call ends, after Wait has returned the handles, and returns nil if
// that was because of Release and otherwise a *CallError.
func (r *RemoteJob) AwaitEnd() error {
	for {
		resp, err := r.stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return r.callError(err)
		}
		r.addResults(resp.GetMade())
	}
}

func stageWorkError(resp *peerpb.StageWorkResponse) error {
	if r := resp.GetRefused(); r != nil {
		return &stagework.RejectedError{
			Message:    r.GetMessage(),
			RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		}
	}
	if resp.GetMoved() {
		return &stagework.OwnerChangedError{}
	}
	return &stagework.FailedError{
		Service: resp.GetFailedService(),
		Message: resp.GetFailed(),
	}
}

// StageWork runs a job for a peer. The job's results are held until the peer ends the call. If
// the connection breaks instead, the job is kept for a moment, in which the peer may submit it
// again.
func (s *server) StageWork(st grpc.BidiStreamingServer[peerpb.StageWorkRequest, peerpb.StageWorkResponse]) error {
	if s.node.cfg.StageWorker == nil {
		return status.Error(codes.Unavailable, "no stage work here")
	}
	req, err := st.Recv()
	if err != nil {
		return err
	}
	// A job on which the scheduler panics fails. Its submitter would submit it to the next owner otherwise.
	job, err := panics.Value(s.node.cfg.Logger, "submit", func() (*stagework.SubmittedJob, error) {
		return s.node.cfg.StageWorker.Submit(stageJob(req, time.Now()))
	})
	if err != nil {
		return st.Send(stageWorkResponse(nil, err))
	}
	end := make(chan error, 1)
	go func() { end <- awaitEnd(st) }()
	if err := reportJob(st, job, end); !errors.Is(err, io.EOF) {
		job.Detach()
		return err
	}
	job.Release()
	return nil
}

// awaitEnd returns io.EOF when the client has ended the call, and another error when the
// connection has broken.
func awaitEnd(st grpc.BidiStreamingServer[peerpb.StageWorkRequest, peerpb.StageWorkResponse]) error {
	for {
		if _, err := st.Recv(); err != nil {
			return err
		}
	}
}

// reportJob sends the results of pieces as they arrive and the result of the job. It returns the
// error with which the call ends.
func reportJob(st grpc.BidiStreamingServer[peerpb.StageWorkRequest, peerpb.StageWorkResponse], job *stagework.SubmittedJob, end <-chan error) error {
	if err := st.Send(&peerpb.StageWorkResponse{
		Taken: true,
	}); err != nil {
		return err
	}
	sent := 0
	done := job.Done()
	for {
		results, changed := job.Results(sent)
		if len(results) > 0 {
			sent += len(results)
			if err := st.Send(&peerpb.StageWorkResponse{
				Made: stageResults(results),
			}); err != nil {
				return err
			}
		}
		select {
		case err := <-end:
			return err
		case <-changed:
		case <-done:
			done = nil
			n, err := sendOutcome(st, job, sent)
			if err != nil {
				return err
			}
			sent += n
		}
	}
}

// sendOutcome sends the results from the index sent on, and the result of a job that is done. It
// returns the number of results that it has sent.
func sendOutcome(st grpc.BidiStreamingServer[peerpb.StageWorkRequest, peerpb.StageWorkResponse], job *stagework.SubmittedJob, sent int) (int, error) {
	handles, err := job.Wait(st.Context())
	resp := stageWorkResponse(handles, err)
	results, _ := job.Results(sent)
	resp.Made = stageResults(results)
	return len(results), st.Send(resp)
}

func stageResults(results []stagework.PieceResult) []*peerpb.StageResult {
	list := make([]*peerpb.StageResult, len(results))
	for i, r := range results {
		list[i] = &peerpb.StageResult{
			Stage:        int32(r.Stage),
			Piece:        int32(r.Piece),
			Handle:       r.Handle,
			Upstream:     r.Incarnation,
			UpstreamAddr: r.Addr,
		}
	}
	return list
}

func pieceResults(list []*peerpb.StageResult) []stagework.PieceResult {
	results := make([]stagework.PieceResult, len(list))
	for i, r := range list {
		results[i] = stagework.PieceResult{
			Stage:       int(r.GetStage()),
			Piece:       int(r.GetPiece()),
			Handle:      r.GetHandle(),
			Incarnation: r.GetUpstream(),
			Addr:        r.GetUpstreamAddr(),
		}
	}
	return results
}

func stageWorkResponse(handles []string, err error) *peerpb.StageWorkResponse {
	var rejected *stagework.RejectedError
	var failed *stagework.FailedError
	var ownerChanged *stagework.OwnerChangedError
	switch {
	case errors.As(err, &ownerChanged):
		return &peerpb.StageWorkResponse{
			Moved: true,
		}
	case err == nil:
		return &peerpb.StageWorkResponse{
			Handles: handles,
		}
	case errors.As(err, &rejected):
		return &peerpb.StageWorkResponse{
			Refused: &peerpb.StageWorkRefusal{
				Message:      rejected.Message,
				RetryAfterMs: rejected.RetryAfter.Milliseconds(),
			},
		}
	case errors.As(err, &failed):
		return &peerpb.StageWorkResponse{
			Failed:        failed.Message,
			FailedService: failed.Service,
		}
	}
	return &peerpb.StageWorkResponse{
		Failed: fmt.Sprint(err),
	}
}

func stageWorkRequest(j stagework.Job) *peerpb.StageWorkRequest {
	now := time.Now()
	req := &peerpb.StageWorkRequest{
		RequestId:   j.RequestID,
		Key:         j.InputKey,
		Priority:    int32(j.Priority),
		ObjectiveMs: j.SoftDeadline.Sub(now).Milliseconds(),
		DeadlineMs:  j.Deadline.Sub(now).Milliseconds(),
		RemainingMs: j.TimeAfterStages.Milliseconds(),
		DataCentre:  j.DataCentre,
		Made:        stageResults(j.Results),
		Resubmitted: j.Resubmitted,
		Workspace:   j.Workspace,
	}
	if !j.Patience.IsZero() {
		req.PatienceMs = j.Patience.Sub(now).Milliseconds()
	}
	for _, st := range j.Stages {
		after := make([]int32, len(st.DependsOn))
		for i, a := range st.DependsOn {
			after[i] = int32(a)
		}
		req.Stages = append(req.Stages, &peerpb.StageWorkStage{
			Service:     st.Service,
			After:       after,
			Pieces:      int32(st.Pieces),
			ResultBytes: st.ResultBytes,
		})
	}
	return req
}

func stageJob(req *peerpb.StageWorkRequest, now time.Time) stagework.Job {
	j := stagework.Job{
		RequestID:       req.GetRequestId(),
		InputKey:        req.GetKey(),
		Workspace:       req.GetWorkspace(),
		Priority:        int(req.GetPriority()),
		SoftDeadline:    now.Add(time.Duration(req.GetObjectiveMs()) * time.Millisecond),
		Deadline:        now.Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond),
		TimeAfterStages: time.Duration(req.GetRemainingMs()) * time.Millisecond,
		DataCentre:      req.GetDataCentre(),
		Results:         pieceResults(req.GetMade()),
		Resubmitted:     req.GetResubmitted(),
	}
	if ms := req.GetPatienceMs(); ms != 0 {
		j.Patience = now.Add(time.Duration(ms) * time.Millisecond)
	}
	for _, st := range req.GetStages() {
		after := make([]int, len(st.GetAfter()))
		for i, a := range st.GetAfter() {
			after[i] = int(a)
		}
		j.Stages = append(j.Stages, stagework.Stage{
			Service:     st.GetService(),
			DependsOn:   after,
			Pieces:      int(st.GetPieces()),
			ResultBytes: st.GetResultBytes(),
		})
	}
	return j
}
