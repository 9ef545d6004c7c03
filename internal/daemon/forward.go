package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/go-faster/jx"

	"sequoiafork/internal/callerhttp"
	"sequoiafork/internal/idempotency"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/peer"
	"sequoiafork/internal/request"
	"sequoiafork/internal/wire/callerapi"
	"sequoiafork/internal/wire/peerpb"
)

const (
	// forwardRetryAfter is the Retry-After delay when the owner of a key could not be
	// reached.
	forwardRetryAfter = time.Second
	// forwardDeadlineMargin is subtracted from the remaining time that the owner gets, to
	// leave time for its response to arrive.
	forwardDeadlineMargin = 5 * time.Millisecond
)

// forward sends r to the process that owns its key. If that fails, the owner may still
// have run the request, now or earlier, so the outcome is NotRun only if the owner itself
// responds so.
func (d *Daemon) forward(ctx context.Context, owner string, r request.Request) outcome.Outcome {
	m := membership.Member{
		Incarnation: owner,
		PeerAddr:    ident.PeerAddr(owner),
	}
	var e jx.Encoder
	(&callerapi.Call{
		Workspace: r.Workspace,
		Input:     r.Input,
	}).Encode(&e)
	deadline, _ := ctx.Deadline()
	res, err := d.node.Forward(ctx, m, &peerpb.ForwardRequest{
		Owner:       owner,
		Key:         r.Key,
		Route:       r.Route,
		Workspace:   r.Workspace,
		RequestId:   r.ID,
		Body:        e.Bytes(),
		RemainingMs: (time.Until(deadline) - forwardDeadlineMargin).Milliseconds(),
		Issued:      ident.IsIssued(r.Key),
	})
	if err != nil {
		return ownerUnreachable(r.ID, err)
	}
	if res.GetWrongOwner() {
		return outcome.Unknown{
			RequestID: r.ID,
			Code:      outcome.CodeOwnerGone,
			Message:   "the process that owned the key has ended: the request may have run",
		}
	}
	o, err := callerhttp.DecodeOutcome(int(res.GetStatus()), res.GetOutcome())
	if err != nil {
		return ownerUnreachable(r.ID, err)
	}
	return o
}

// ownerUnreachable returns the outcome of a request whose owner did not respond.
func ownerUnreachable(id string, err error) outcome.Outcome {
	message := "the process that owns the key did not answer: ask again with the same key"
	var call *peer.CallError
	if errors.As(err, &call) && !call.MaybeSent {
		message = "the process that owns the key can't be reached and may have run the request before: ask again with the same key"
	}
	return outcome.Unknown{
		RequestID:  id,
		Code:       outcome.CodeOwnerUnreachable,
		Message:    message,
		RetryAfter: forwardRetryAfter,
	}
}

// queryTimeout bounds a query for a key's state to the process that owns it.
const queryTimeout = time.Second

// queryOwner queries the owner of a key for the key's state. It returns false if the owner
// did not respond or is another incarnation now.
func (d *Daemon) queryOwner(ctx context.Context, owner, workspace, key string) (idempotency.Status, bool) {
	ctx, stop := context.WithTimeout(ctx, queryTimeout)
	defer stop()
	res, err := d.node.ShowKey(ctx, membership.Member{
		Incarnation: owner,
		PeerAddr:    ident.PeerAddr(owner),
	}, &peerpb.ShowKeyRequest{
		Owner:     owner,
		Workspace: workspace,
		Key:       key,
	})
	if err != nil || res.GetWrongOwner() {
		return idempotency.Status{}, false
	}
	st := idempotency.Status{
		Owner:   owner,
		Running: res.GetRunning(),
		Expired: res.GetExpired(),
	}
	if len(res.GetOutcome()) > 0 {
		st.Outcome, err = callerhttp.DecodeOutcome(int(res.GetStatus()), res.GetOutcome())
	}
	return st, err == nil
}

// ShowKey implements peer.Forwarder.
func (f forwarder) ShowKey(_ context.Context, req *peerpb.ShowKeyRequest) (*peerpb.ShowKeyResponse, error) {
	st := f.daemon.registry.Status(req.GetWorkspace(), req.GetKey())
	res := &peerpb.ShowKeyResponse{
		Running: st.Running,
		Expired: st.Expired,
	}
	if st.Outcome != nil {
		status, body := callerhttp.EncodeOutcome(st.Outcome)
		res.Status = int32(status)
		res.Outcome = body
	}
	return res, nil
}

// forwarder handles the requests that peers forward. The peer server has already checked
// that this process is the incarnation that they address.
type forwarder struct {
	daemon *Daemon
}

// Forward implements peer.Forwarder.
func (f forwarder) Forward(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error) {
	var call callerapi.Call
	if err := call.Decode(jx.DecodeBytes(req.GetBody())); err != nil {
		return nil, err
	}
	o := f.daemon.service.Serve(ctx, request.Request{
		ID:        req.GetRequestId(),
		Route:     req.GetRoute(),
		Workspace: req.GetWorkspace(),
		Input:     call.Input,
		Key:       req.GetKey(),
		Deadline:  time.Now().Add(time.Duration(req.GetRemainingMs()) * time.Millisecond),
		Forwarded: true,
	})
	status, body := callerhttp.EncodeOutcome(o)
	return &peerpb.ForwardResponse{
		Status:  int32(status),
		Outcome: body,
	}, nil
}
