// Package request serves the requests of callers and peers: it validates each request,
// looks up its route, passes it to the idempotency registry if it has a key and runs it
// otherwise, and records its outcome in the metrics and the log.
package request

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/idempotency"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/table"
)

// DefaultMaxInFlight is the default of Config.MaxInFlight.
const DefaultMaxInFlight = 4096

// rejectedRetryAfter is the Retry-After delay of a daemon that accepts no requests now.
const rejectedRetryAfter = time.Second

// Config configures a Service. Executor, Registry, Tables and Forward are required.
type Config struct {
	Self     string
	Executor *pipeline.Executor
	Registry *idempotency.Registry
	// Tables returns the tables in effect, or nil while there are none.
	Tables func() *table.Tables
	// Forward sends a request to the incarnation, one run of a process, that owns its key.
	Forward func(ctx context.Context, owner string, r Request) outcome.Outcome
	// QueryOwner returns the status of a key from the process that owns it. It returns
	// false if that process did not respond.
	QueryOwner  func(ctx context.Context, owner, workspace, key string) (idempotency.Status, bool)
	MaxInFlight int
	Logger      *zap.Logger
}

// Request is one request as a caller or a peer sent it.
type Request struct {
	ID        string
	Route     string
	Workspace string
	Input     string
	// Key is the idempotency key, or "".
	Key string
	// Deadline is the caller's deadline; zero selects the route's.
	Deadline time.Time
	// Forwarded is set if a peer forwarded the request because this process owns
	// its key.
	Forwarded bool
	OnToken   func(index int, text string)
}

// Service runs requests. It is safe for concurrent use.
type Service struct {
	cfg      Config
	inFlight atomic.Int64
	// draining is set once a drain rejects new requests.
	draining atomic.Bool

	keysMu          sync.Mutex
	keyIssueStopped bool
	lastKeyExpiry   time.Time
}

// New returns a service that accepts requests.
func New(cfg Config) *Service {
	cfg.MaxInFlight = cmp.Or(cfg.MaxInFlight, DefaultMaxInFlight)
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Service{
		cfg: cfg,
	}
}

// Serve runs r and returns its outcome.
func (s *Service) Serve(ctx context.Context, r Request) outcome.Outcome {
	start := time.Now()
	r.ID = cmp.Or(r.ID, ident.NewRequestID())
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	o := s.serve(ctx, r)
	s.record(r, o, time.Since(start))
	return o
}

func (s *Service) serve(ctx context.Context, r Request) outcome.Outcome {
	p, rejection := s.prepare(r)
	switch {
	case rejection != nil && r.Key != "":
		return s.cfg.Registry.Reject(ctx, s.registryRequest(r, p), *rejection)
	case rejection != nil:
		return *rejection
	case r.Key != "":
		ctx, stop := context.WithDeadline(ctx, p.Deadline)
		defer stop()
		return s.cfg.Registry.Do(ctx, s.registryRequest(r, p))
	}
	o, _ := s.cfg.Executor.Run(ctx, p)
	return o
}

// prepare returns the pipeline request for r, or the reason why r is rejected.
func (s *Service) prepare(r Request) (pipeline.Request, *outcome.NotRun) {
	p := pipeline.Request{
		ID:        r.ID,
		Workspace: r.Workspace,
		Input:     r.Input,
		Tables:    s.cfg.Tables(),
		OnToken:   r.OnToken,
	}
	if rejection := s.checkState(r, p.Tables); rejection != nil {
		return p, rejection
	}
	row, ok := p.Tables.Route(r.Route)
	if !ok {
		return p, &outcome.NotRun{
			RequestID: r.ID,
			Code:      outcome.CodeRouteUnknown,
			Field:     "route",
			Message:   fmt.Sprintf("route %q does not exist: ask the operator for its name", r.Route),
		}
	}
	p.Route = row.Value
	p.Deadline = effectiveDeadline(r.Deadline, p.Route.Deadline)
	if !time.Now().Before(p.Deadline) {
		return p, s.cfg.Executor.CheckDeadline(p)
	}
	return p, nil
}

// registryRequest returns the idempotency registry's form of a request with a key.
func (s *Service) registryRequest(r Request, p pipeline.Request) idempotency.Request {
	return idempotency.Request{
		ID:        r.ID,
		Workspace: r.Workspace,
		Key:       r.Key,
		Hash:      idempotency.HashRequest(r.Route, r.Workspace, r.Input),
		// A route that is not known here may have non-idempotent stages.
		NonIdempotent: p.Route.Name == "" || p.Route.HasNonIdempotentStage(),
		Check:         func() *outcome.NotRun { return s.cfg.Executor.CheckDeadline(p) },
		Run: func(ctx context.Context) (outcome.Outcome, <-chan outcome.Outcome) {
			return s.cfg.Executor.Run(ctx, p)
		},
		Forward: func(ctx context.Context, owner string) outcome.Outcome {
			if r.Forwarded {
				return ownerGone(r.ID)
			}
			return s.cfg.Forward(ctx, owner, r)
		},
	}
}

// checkState returns a rejection if the state of the process does not permit r, or nil.
func (s *Service) checkState(r Request, tables *table.Tables) *outcome.NotRun {
	code, message := outcome.Code(""), ""
	switch {
	case r.Forwarded:
		if tables != nil {
			return nil
		}
		code, message = outcome.CodeNotReady, "this daemon has no tables yet"
	case s.draining.Load():
		code, message = outcome.CodeDraining, "this daemon is stopping: use another address"
	case tables == nil:
		code, message = outcome.CodeNotReady, "this daemon has no tables yet: use another address"
	case s.inFlight.Load() > int64(s.cfg.MaxInFlight):
		code, message = outcome.CodeOverloaded, "this daemon has too many requests in flight"
	default:
		return nil
	}
	return &outcome.NotRun{
		RequestID:  r.ID,
		Code:       code,
		Message:    message,
		RetryAfter: rejectedRetryAfter,
	}
}

// IssueKey returns a new key that this process owns and its validity, or a rejection.
func (s *Service) IssueKey() (string, time.Duration, *outcome.NotRun) {
	if rejection := s.checkState(Request{}, s.cfg.Tables()); rejection != nil {
		return "", 0, rejection
	}
	s.keysMu.Lock()
	defer s.keysMu.Unlock()
	if s.keyIssueStopped {
		return "", 0, &outcome.NotRun{
			Code:       outcome.CodeDraining,
			Message:    "this daemon is stopping and issues no keys: use another address",
			RetryAfter: rejectedRetryAfter,
		}
	}
	key, valid := s.cfg.Registry.Issue()
	s.lastKeyExpiry = time.Now().Add(valid)
	return key, valid, nil
}

// StopIssuingKeys makes s issue no further keys. It returns when the last key that s
// issued expires, or the zero time if s has issued none.
func (s *Service) StopIssuingKeys() time.Time {
	s.keysMu.Lock()
	defer s.keysMu.Unlock()
	s.keyIssueStopped = true
	return s.lastKeyExpiry
}

// Ready reports whether s has tables.
func (s *Service) Ready() bool {
	return s.cfg.Tables() != nil
}

// StopAccepting makes s reject new requests, except those that a peer forwards.
func (s *Service) StopAccepting() {
	s.draining.Store(true)
}

// InFlight returns the number of requests in progress.
func (s *Service) InFlight() int {
	return int(s.inFlight.Load())
}

// KeyStatus returns the status of a key in this process or, if the key has not started
// here and another process owns it, the status that the owner reports.
func (s *Service) KeyStatus(ctx context.Context, workspace, key string) idempotency.Status {
	st := s.cfg.Registry.Status(workspace, key)
	if st.Started() || st.Owner == "" || st.Owner == s.cfg.Self || s.cfg.QueryOwner == nil {
		return st
	}
	if ownerStatus, ok := s.cfg.QueryOwner(ctx, st.Owner, workspace, key); ok {
		return ownerStatus
	}
	return st
}

func ownerGone(id string) outcome.Outcome {
	return outcome.Unknown{
		RequestID: id,
		Code:      outcome.CodeOwnerGone,
		Message:   "the process that owned the key has ended: the request may have run",
	}
}

// effectiveDeadline returns the earlier of the caller's and the route's deadline.
func effectiveDeadline(requested time.Time, limit time.Duration) time.Time {
	latest := time.Now().Add(limit)
	if requested.IsZero() || requested.After(latest) {
		return latest
	}
	return requested
}
