package quarantine

import (
	"fmt"
	"time"

	"go.uber.org/zap"
)

// hold is a hold at this daemon.
type hold struct {
	Hold
	// lastEnd is when the last upstream ended with the key.
	lastEnd time.Time
	// lastRefused is when a request with the key was refused last.
	lastRefused time.Time
	refused     int
	trial       trial
}

// trial is the request that this daemon sends to find out whether a key still ends upstreams.
type trial struct {
	requestID string
	admitted  time.Time
	// sent reports that an attempt was made.
	sent bool
}

// HeldError reports a request that is kept from the upstreams because requests like it have ended upstreams.
type HeldError struct {
	Key uint64
	// Ends is the number of upstreams that ended.
	Ends int
	// RetryAfter is the time until a request with the key may be sent again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("requests that share key %016x with this one have ended %d upstreams; none is sent for the next %v", e.Key, e.Ends, e.RetryAfter.Round(time.Millisecond))
}

// Admit returns a *HeldError if a request must not be sent to an upstream, again or for the first time. A request
// that it admits as a trial is sent once.
func (r *Registry) Admit(req Request) error { return r.admit(req, false) }

// BeginAttempt is Admit for an attempt that begins now.
func (r *Registry) BeginAttempt(req Request) error { return r.admit(req, true) }

func (r *Registry) admit(req Request, send bool) error {
	if !r.Active() {
		return nil
	}
	now := time.Now()
	myTurn := r.myTurns(req, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range req.Keys {
		h, ok := r.holds[k.Hash]
		if !ok || h.mayTry(req.ID, myTurn[k.Hash], now) {
			continue
		}
		return h.refuse(now)
	}
	for _, k := range req.Keys {
		if h, ok := r.holds[k.Hash]; ok {
			r.beginTrial(h, req.ID, now, send)
		}
	}
	return nil
}

// myTurns returns the held keys of a request for which it is this daemon's turn to send a trial request. MayTry
// is called without mu.
func (r *Registry) myTurns(req Request, now time.Time) map[uint64]bool {
	due := r.dueTurns(req, now)
	var turns map[uint64]bool
	for key, turn := range due {
		if !r.cfg.MayTry(key, turn) {
			continue
		}
		if turns == nil {
			turns = make(map[uint64]bool)
		}
		turns[key] = true
	}
	return turns
}

// dueTurns returns the turns of the held keys of a request for which a trial is due.
func (r *Registry) dueTurns(req Request, now time.Time) map[uint64]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decideDue()
	var due map[uint64]int
	for _, k := range req.Keys {
		h, ok := r.holds[k.Hash]
		if !ok || now.Before(h.until()) {
			continue
		}
		if due == nil {
			due = make(map[uint64]int)
		}
		due[k.Hash] = int(now.Sub(h.until()) / trialTurn)
	}
	return due
}

// mayTry reports whether a request may be the trial.
func (h *hold) mayTry(requestID string, myTurn bool, now time.Time) bool {
	if !h.trial.admitted.IsZero() && h.trial.requestID == requestID {
		return !h.trial.sent
	}
	return myTurn && now.Sub(h.trial.admitted) >= trialTimeout
}

// beginTrial makes a request the trial of a hold. The caller holds mu.
func (r *Registry) beginTrial(h *hold, requestID string, now time.Time, send bool) {
	if h.trial.admitted.IsZero() || h.trial.requestID != requestID {
		h.trial = trial{
			requestID: requestID,
			admitted:  now,
		}
		r.cfg.Logger.Info("a held request is sent as a trial", zap.String("request_id", requestID), keyField(h.Key), zap.Int("failures", h.Failures))
	}
	h.trial.sent = h.trial.sent || send
}

// refuse counts a request that is refused.
func (h *hold) refuse(now time.Time) *HeldError {
	h.lastRefused = now
	h.refused++
	return &HeldError{
		Key:        h.Key,
		Ends:       h.Ends,
		RetryAfter: max(h.until().Sub(now), trialRetryAfter),
	}
}

// mergeHold adds a hold that another daemon has begun and reports whether it was new. The caller holds mu.
func (r *Registry) mergeHold(o Hold) bool {
	h, known := r.holds[o.Key]
	if known && o.Failures == h.Failures && o.Since.Before(h.Since) {
		h.Since = o.Since
	}
	if known && o.Failures <= h.Failures {
		return false
	}
	if s, ok := r.suspects[o.Key]; ok && s.success.After(o.Since) {
		return false
	}
	r.active.Store(true)
	r.addHold(&hold{
		Hold:    o,
		lastEnd: o.Since,
	})
	r.logHeld(o, "another daemon holds it")
	return true
}

// addHold adds a hold, and drops the one that was refused longest ago if there are too many. The caller holds mu.
func (r *Registry) addHold(h *hold) {
	r.holds[h.Key] = h
	if len(r.holds) <= r.cfg.MaxHolds {
		return
	}
	oldest := h
	for _, other := range r.holds {
		if other.lastUse().Before(oldest.lastUse()) {
			oldest = other
		}
	}
	delete(r.holds, oldest.Key)
	r.logHoldEnded(oldest.Hold, "too many keys are held")
}

// lastUse returns when a request was refused last, or the start of the hold.
func (h *hold) lastUse() time.Time {
	if h.lastRefused.After(h.Since) {
		return h.lastRefused
	}
	return h.Since
}

func (r *Registry) logHeld(h Hold, reason string) {
	r.cfg.Logger.Warn("requests held back from upstreams", keyField(h.Key), zap.String("reason", reason),
		zap.Int("ends", h.Ends), zap.Int("rank", h.Rank), zap.Int("failures", h.Failures), zap.Duration("for_ms", time.Until(h.until())))
}

func (r *Registry) logHoldEnded(h Hold, reason string) {
	r.cfg.Logger.Info("requests no longer held back from upstreams", keyField(h.Key), zap.String("reason", reason), zap.Int("ends", h.Ends))
}

func keyField(key uint64) zap.Field { return zap.String("key", fmt.Sprintf("%016x", key)) }
