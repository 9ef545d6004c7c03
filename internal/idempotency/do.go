package idempotency

import (
	"context"
	"errors"
	"time"

	"sequoiafork/internal/ident"
	"sequoiafork/internal/outcome"
)

// pendingRetryAfter is the Retry-After delay for a key whose outcome is not known yet.
const pendingRetryAfter = time.Second

// Do returns the outcome of the request with req.Key: it runs the request, joins
// a run in progress, returns the stored outcome of an earlier run, or forwards the
// request to the owner of the key.
func (r *Registry) Do(ctx context.Context, req Request) outcome.Outcome {
	if o, ok := r.joinExisting(ctx, req); ok {
		return o
	}
	issued := ident.IsIssued(req.Key)
	if issued {
		key, err := ident.ParseIssuedKey(req.Key)
		if err != nil {
			return outcome.NotRun{
				RequestID: req.ID,
				Code:      outcome.CodeBadRequest,
				Field:     "Idempotency-Key",
				Message:   err.Error(),
			}
		}
		if key.Owner != r.cfg.Self {
			return req.Forward(ctx, key.Owner)
		}
	}
	if why := r.expiry(req.Key); why != "" {
		return keyExpired(req.ID, why)
	}
	return r.do(ctx, req, issued)
}

// expiry returns why a key is too old for this process to tell whether its request has
// run, or "" if it is not.
func (r *Registry) expiry(key string) string {
	if issued, err := ident.ParseIssuedKey(key); err == nil {
		if age := r.now().Sub(issued.Issued); age > r.cfg.IssuedKeyTTL {
			return "the key was issued " + age.Round(time.Second).String() + " ago and is valid for " + r.cfg.IssuedKeyTTL.String()
		}
		return ""
	}
	if age, ok := ident.UUIDAge(key, time.Now()); ok && age > r.cfg.ClaimWindow {
		return "the key was made " + age.Round(time.Second).String() + " ago and keys are remembered for " + r.cfg.ClaimWindow.String()
	}
	return ""
}

func (r *Registry) do(ctx context.Context, req Request, issued bool) outcome.Outcome {
	key := HashKey(req.Workspace, req.Key)
	s := r.shard(key)
	for {
		e, leader, mayBeClaimed := s.begin(key, req.Hash)
		if e.requestHash != req.Hash {
			return keyMismatch(req.ID)
		}
		if leader {
			return r.runAsLeader(ctx, s, e, req, issued, mayBeClaimed)
		}
		o := r.join(ctx, s, e, req.ID)
		if outcome.CodeOf(o) != outcome.CodeCallerGone {
			return o
		}
		// The run ended because its caller disconnected. Run the request again, unless
		// this caller is gone too or the outcome is stored and so final.
		if ctx.Err() != nil {
			return o
		}
		if _, completed := r.completedResult(s, e); completed {
			return o
		}
	}
}

// joinExisting returns the outcome of a key whose request is running or has run in this
// process. It returns false if there is none, or if the run ended because its caller
// disconnected. It ignores the age of the key.
func (r *Registry) joinExisting(ctx context.Context, req Request) (outcome.Outcome, bool) {
	key := HashKey(req.Workspace, req.Key)
	s := r.shard(key)
	e, ok := s.started(key)
	switch {
	case !ok:
		return nil, false
	case e.requestHash != req.Hash:
		return keyMismatch(req.ID), true
	}
	o := r.join(ctx, s, e, req.ID)
	return o, outcome.CodeOf(o) != outcome.CodeCallerGone
}

// join waits for the run in progress, or returns the outcome of the completed run.
func (r *Registry) join(ctx context.Context, s *shard, e *entry, id string) outcome.Outcome {
	select {
	case <-s.doneChan(e):
	case <-ctx.Done():
		return outcome.Unknown{
			RequestID:  id,
			Code:       outcome.CodeKeyRunning,
			Message:    "a request with this key is running: ask again with the same key",
			RetryAfter: pendingRetryAfter,
		}
	}
	s.mu.Lock()
	o := e.result
	s.mu.Unlock()
	if o == nil {
		return resultExpired(id)
	}
	return o
}

func (r *Registry) completedResult(s *shard, e *entry) (outcome.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.result, e.state == stateCompleted
}

// runAsLeader runs the request of a key that has neither a running nor a completed run
// in this process.
func (r *Registry) runAsLeader(ctx context.Context, s *shard, e *entry, req Request, issued, mayBeClaimed bool) outcome.Outcome {
	if !mayBeClaimed && req.Check != nil {
		if rejection := req.Check(); rejection != nil {
			o := outcome.Outcome(*rejection)
			if !issued {
				o = r.rejectIfUnclaimed(ctx, e.key, req, *rejection)
			}
			s.drop(e, o)
			return o
		}
	}
	if req.NonIdempotent && !issued {
		if o, ok := r.claim(ctx, s, e, req, mayBeClaimed); !ok {
			return o
		}
	}
	if req.NonIdempotent {
		// The run continues without its caller, because later requests with the key
		// need its outcome.
		return r.run(context.WithoutCancel(ctx), ctx, s, e, req)
	}
	return r.run(ctx, ctx, s, e, req)
}

// claim determines the owner of the key. It returns true if this process owns the key
// and has never run its request; otherwise it has ended the entry's run (see drop and
// endClaimUnknown) and returns the outcome of this request.
func (r *Registry) claim(ctx context.Context, s *shard, e *entry, req Request, mayBeClaimed bool) (outcome.Outcome, bool) {
	owner, known := r.cfg.Claims.Lookup(e.key)
	if known && owner.Incarnation == r.cfg.Self && !mayBeClaimed {
		o := resultExpired(req.ID)
		s.drop(e, o)
		return o, false
	}
	if !known {
		var err error
		owner, err = r.cfg.Claims.Claim(ctx, e.key, e.requestHash)
		if err != nil {
			return r.claimFailed(ctx, s, e, req, mayBeClaimed, err), false
		}
	}
	if owner.RequestHash != req.Hash {
		o := keyMismatch(req.ID)
		s.drop(e, o)
		return o, false
	}
	if owner.Incarnation != r.cfg.Self {
		o := req.Forward(ctx, owner.Incarnation)
		s.drop(e, o)
		return o, false
	}
	return nil, true
}

// claimFailed ends the run of an entry whose claim was not appended or could not be read
// back from the log, and returns the outcome.
func (r *Registry) claimFailed(ctx context.Context, s *shard, e *entry, req Request, mayBeClaimed bool, err error) outcome.Outcome {
	var notClaimed *NotClaimedError
	if errors.As(err, &notClaimed) && !mayBeClaimed {
		o := r.rejectIfUnclaimed(ctx, e.key, req, outcome.NotRun{
			RequestID:  req.ID,
			Code:       outcome.CodeLogUnavailable,
			Message:    "the key can't be claimed now: send the request again with the same key",
			RetryAfter: notClaimed.RetryAfter,
		})
		s.drop(e, o)
		return o
	}
	o := outcome.Unknown{
		RequestID:  req.ID,
		Code:       outcome.CodeClaimUnsettled,
		Message:    "the key's claim is not settled yet: ask again with the same key",
		RetryAfter: pendingRetryAfter,
	}
	s.endClaimUnknown(e, o)
	return o
}

// run runs the request under runCtx and returns its outcome, or Unknown if the
// caller's context ends first.
func (r *Registry) run(runCtx, callerCtx context.Context, s *shard, e *entry, req Request) outcome.Outcome {
	results := make(chan outcome.Outcome, 1)
	go func() {
		o, final := req.Run(runCtx)
		if final == nil {
			// A caller that asks for the key after its answer must find the outcome.
			r.finish(s, e, req, o)
			results <- o
			return
		}
		results <- o
		r.finish(s, e, req, <-final)
	}()
	if runCtx == callerCtx {
		// The run itself stops when the caller's context ends.
		return <-results
	}
	select {
	case o := <-results:
		return o
	case <-callerCtx.Done():
		return outcome.Unknown{
			RequestID:  req.ID,
			Code:       outcome.CodeCallerGone,
			Message:    "the request goes on: ask again with the same key",
			RetryAfter: pendingRetryAfter,
		}
	}
}

// finish ends the entry's run. It stores every outcome of a non-idempotent request, so
// that the request never runs again, and only the answers of other requests.
func (r *Registry) finish(s *shard, e *entry, req Request, o outcome.Outcome) {
	_, answered := o.(outcome.Answered)
	if req.NonIdempotent || answered {
		s.complete(e, o, r.cfg.ResultWindow, r.cfg.MaxResultBytes/shardCount)
		return
	}
	s.drop(e, o)
}

func keyMismatch(id string) outcome.NotRun {
	return outcome.NotRun{
		RequestID: id,
		Code:      outcome.CodeKeyBodyMismatch,
		Field:     "Idempotency-Key",
		Message:   "the key was used for a request with another route or input: use a new key",
	}
}

func keyExpired(id, why string) outcome.Unknown {
	return outcome.Unknown{
		RequestID: id,
		Code:      outcome.CodeKeyExpired,
		Message:   why + ": it may have run, check before using a new key",
	}
}
