package peer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/wire/peerpb"
)

// StageWorker does the stages of requests for peers.
type StageWorker interface {
	Submit(j stagework.Job) (*stagework.SubmittedJob, error)
}

// RemoteJob is a job that a peer has taken.
type RemoteJob struct {
	stream grpc.BidiStreamingClient[peerpb.StageWorkRequest, peerpb.StageWorkResponse]
	cancel context.CancelFunc
	addr   string

	mu   sync.Mutex
	made []stagework.PieceResult
}

// StageWork hands a job to the member that owns the stage upstreams. The error is a
// *stagework.RefusedError if the owner refused it, and else a *CallError. patience
// bounds the wait for the owner's word on whether it takes the job.
func (n *Node) StageWork(ctx context.Context, m membership.Member, j stagework.Job, patience time.Duration) (*RemoteJob, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := &RemoteJob{
		cancel: cancel,
		addr:   m.PeerAddr,
		made:   slices.Clone(j.Results),
	}
	late := time.AfterFunc(patience, cancel)
	err := t.open(ctx, n, j)
	if !late.Stop() && err == nil {
		err = t.failed(context.DeadlineExceeded)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return t, nil
}

func (t *RemoteJob) open(ctx context.Context, n *Node, j stagework.Job) error {
	conn, err := n.conn(ctx, t.addr)
	if err != nil {
		return t.failed(err)
	}
	t.stream, err = peerpb.NewPeerClient(conn).StageWork(ctx)
	if err != nil {
		return t.failed(err)
	}
	if err := t.stream.Send(stageWorkRequest(j)); err != nil {
		return t.failed(err)
	}
	resp, err := t.stream.Recv()
	if err != nil {
		return t.failed(err)
	}
	if resp.GetTaken() {
		return nil
	}
	return stageWorkError(resp)
}

func (t *RemoteJob) failed(err error) error {
	return &CallError{
		Addr:      t.addr,
		MaybeSent: t.stream != nil,
		Err:       err,
	}
}

// Wait returns the handles of the results of the final stages. The error is a
// *stagework.RefusedError, a *stagework.FailedError, a *stagework.MovedError or a
// *CallError.
func (t *RemoteJob) Wait() ([]string, error) {
	for {
		resp, err := t.stream.Recv()
		if err != nil {
			return nil, t.failed(err)
		}
		t.note(resp.GetMade())
		switch {
		case resp.GetRefused() != nil || resp.GetFailed() != "" || resp.GetMoved():
			return nil, stageWorkError(resp)
		case len(resp.GetHandles()) > 0:
			return resp.GetHandles(), nil
		}
	}
}

func (t *RemoteJob) note(made []*peerpb.StageResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.made = append(t.made, stageMade(made)...)
}

// Results returns the results that the owner has told of so far.
func (t *RemoteJob) Results() []stagework.PieceResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.made)
}

// Release ends the job; the owner frees its results.
func (t *RemoteJob) Release() { t.cancel() }

func stageWorkError(resp *peerpb.StageWorkResponse) error {
	if r := resp.GetRefused(); r != nil {
		return &stagework.RefusedError{
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

// StageWork does a job for a peer until the peer ends the call.
func (s *server) StageWork(st grpc.BidiStreamingServer[peerpb.StageWorkRequest, peerpb.StageWorkResponse]) error {
	if s.node.cfg.StageWorker == nil {
		return status.Error(codes.Unavailable, "no stage work here")
	}
	req, err := st.Recv()
	if err != nil {
		return err
	}
	ticket, err := s.node.cfg.StageWorker.Submit(stageJob(req, time.Now()))
	if err != nil {
		return st.Send(stageWorkResponse(nil, err))
	}
	defer ticket.Release()
	if err := st.Send(&peerpb.StageWorkResponse{
		Taken: true,
	}); err != nil {
		return err
	}
	if err := tellMade(st, ticket); err != nil {
		return err
	}
	handles, err := ticket.Wait(st.Context())
	if err := st.Send(stageWorkResponse(handles, err)); err != nil {
		return err
	}
	<-st.Context().Done()
	return nil
}

// tellMade sends the results of pieces as they come, until the job is done.
func tellMade(st grpc.BidiStreamingServer[peerpb.StageWorkRequest, peerpb.StageWorkResponse], ticket *stagework.SubmittedJob) error {
	sent := 0
	for done := false; !done; {
		made, changed := ticket.Results(sent)
		if len(made) > 0 {
			sent += len(made)
			if err := st.Send(&peerpb.StageWorkResponse{
				Made: stageResults(made),
			}); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-ticket.Done():
			done = true
		case <-st.Context().Done():
			return st.Context().Err()
		}
	}
	return nil
}

func stageResults(made []stagework.PieceResult) []*peerpb.StageResult {
	list := make([]*peerpb.StageResult, len(made))
	for i, m := range made {
		list[i] = &peerpb.StageResult{
			Stage:        int32(m.Stage),
			Piece:        int32(m.Piece),
			Handle:       m.Handle,
			Upstream:     m.Incarnation,
			UpstreamAddr: m.Addr,
		}
	}
	return list
}

func stageMade(list []*peerpb.StageResult) []stagework.PieceResult {
	made := make([]stagework.PieceResult, len(list))
	for i, r := range list {
		made[i] = stagework.PieceResult{
			Stage:       int(r.GetStage()),
			Piece:       int(r.GetPiece()),
			Handle:      r.GetHandle(),
			Incarnation: r.GetUpstream(),
			Addr:        r.GetUpstreamAddr(),
		}
	}
	return made
}

func stageWorkResponse(handles []string, err error) *peerpb.StageWorkResponse {
	var refused *stagework.RefusedError
	var failed *stagework.FailedError
	var moved *stagework.OwnerChangedError
	switch {
	case errors.As(err, &moved):
		return &peerpb.StageWorkResponse{
			Moved: true,
		}
	case err == nil:
		return &peerpb.StageWorkResponse{
			Handles: handles,
		}
	case errors.As(err, &refused):
		return &peerpb.StageWorkResponse{
			Refused: &peerpb.StageWorkRefusal{
				Message:      refused.Message,
				RetryAfterMs: refused.RetryAfter.Milliseconds(),
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
		Priority:        int(req.GetPriority()),
		SoftDeadline:    now.Add(time.Duration(req.GetObjectiveMs()) * time.Millisecond),
		Deadline:        now.Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond),
		TimeAfterStages: time.Duration(req.GetRemainingMs()) * time.Millisecond,
		DataCentre:      req.GetDataCentre(),
		Results:         stageMade(req.GetMade()),
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
