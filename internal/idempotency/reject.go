package idempotency

import (
	"context"
	"time"

	"sequoiafork/internal/ident"
	"sequoiafork/internal/outcome"
)

// unclaimedCheckTimeout bounds the check that no process has claimed the key of a
// rejected request.
const unclaimedCheckTimeout = 500 * time.Millisecond

// Reject returns the outcome of a request that this process does not accept. It is
// rejection for a non-idempotent request only if no process can have run it; otherwise
// it is the outcome of the key, which may be an answer, or Unknown. It is Unknown for a
// key that is so old that its claim or outcome may have been discarded.
func (r *Registry) Reject(ctx context.Context, req Request, rejection outcome.NotRun) outcome.Outcome {
	if o, ok := r.joinExisting(ctx, req); ok {
		return o
	}
	expired := ""
	if req.NonIdempotent {
		expired = r.expiry(req.Key)
	}
	if !ident.IsIssued(req.Key) {
		if expired != "" {
			return keyExpired(req.ID, expired)
		}
		return r.rejectIfUnclaimed(ctx, HashKey(req.Workspace, req.Key), req, rejection)
	}
	issued, err := ident.ParseIssuedKey(req.Key)
	switch {
	case err != nil:
		return rejection
	case issued.Owner != r.cfg.Self:
		return req.Forward(ctx, issued.Owner)
	case expired != "":
		return keyExpired(req.ID, expired)
	}
	return rejection
}

// started returns the key's entry if a request with the key is running or has run in
// this process.
func (s *shard) started(key KeyHash) (*entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return e, ok && e.state != stateClaimUnknown
}

// rejectIfUnclaimed returns rejection if the request is idempotent or no process has
// claimed its key. It returns Unknown if it can't check the claim in time.
func (r *Registry) rejectIfUnclaimed(ctx context.Context, key KeyHash, req Request, rejection outcome.NotRun) outcome.Outcome {
	if !req.NonIdempotent {
		return rejection
	}
	checkCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), unclaimedCheckTimeout)
	defer stop()
	if err := r.cfg.Claims.WaitCurrent(checkCtx); err != nil {
		return outcome.Unknown{
			RequestID:  req.ID,
			Code:       outcome.CodeClaimUnsettled,
			Message:    rejection.Message + "; whether the key ran before is not known now: ask again with the same key",
			RetryAfter: max(rejection.RetryAfter, pendingRetryAfter),
		}
	}
	owner, known := r.cfg.Claims.Lookup(key)
	switch {
	case !known:
		return rejection
	case owner.RequestHash != req.Hash:
		return keyMismatch(req.ID)
	case owner.Incarnation == r.cfg.Self:
		return resultExpired(req.ID)
	}
	return req.Forward(ctx, owner.Incarnation)
}

func resultExpired(id string) outcome.Unknown {
	return outcome.Unknown{
		RequestID: id,
		Code:      outcome.CodeResultExpired,
		Message:   "a request with this key has run and its outcome is no longer kept",
	}
}
