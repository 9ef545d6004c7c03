package membership

import (
	"time"

	"sequoiafork/internal/quarantine"
	"sequoiafork/internal/wire/peerpb"
)

// EvidenceKeeper keeps what the daemons have observed of requests that end upstreams. Its methods are called with the
// table locked, and must not call the table.
type EvidenceKeeper interface {
	// Merge adds what another daemon has observed and reports whether it was new.
	Merge(o quarantine.Observation) bool
	// Observations returns all that a daemon that joins must be told.
	Observations() []quarantine.Observation
}

// ReportEvidence gossips what this process has observed and its EvidenceKeeper has recorded.
func (t *Table) ReportEvidence(list []quarantine.Observation) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flood(evidenceRumors(list, time.Now()), nil)
}

// mergeEvidence merges a rumor and reports whether to forward it.
func (t *Table) mergeEvidence(r *peerpb.EvidenceRumor, now time.Time) bool {
	if t.cfg.Evidence == nil {
		return false
	}
	switch {
	case r.GetEnd() != nil:
		return t.cfg.Evidence.Merge(endFromRumor(r.GetEnd(), now))
	case r.GetSuccess() != nil:
		return t.cfg.Evidence.Merge(quarantine.Success{
			Key: r.GetSuccess().GetKey(),
			At:  before(now, r.GetSuccess().GetAgeMs()),
		})
	case r.GetHold() != nil:
		h := r.GetHold()
		return t.cfg.Evidence.Merge(quarantine.Hold{
			Key:      h.GetKey(),
			Rank:     int(h.GetRank()),
			Since:    before(now, h.GetAgeMs()),
			Failures: int(max(h.GetFailures(), 0)),
			Ends:     int(h.GetEnds()),
		})
	}
	return false
}

// evidence returns rumors of all that is known, to be sent on a new link.
func (t *Table) evidence(now time.Time) []*peerpb.Rumor {
	if t.cfg.Evidence == nil {
		return nil
	}
	return evidenceRumors(t.cfg.Evidence.Observations(), now)
}

func evidenceRumors(list []quarantine.Observation, now time.Time) []*peerpb.Rumor {
	rumors := make([]*peerpb.Rumor, 0, len(list))
	for _, o := range list {
		rumors = append(rumors, &peerpb.Rumor{
			Evidence: evidenceRumor(o, now),
		})
	}
	return rumors
}

func evidenceRumor(o quarantine.Observation, now time.Time) *peerpb.EvidenceRumor {
	switch o := o.(type) {
	case quarantine.End:
		return &peerpb.EvidenceRumor{
			End: endRumor(o, now),
		}
	case quarantine.Success:
		return &peerpb.EvidenceRumor{
			Success: &peerpb.KeySuccess{
				Key:   o.Key,
				AgeMs: now.Sub(o.At).Milliseconds(),
			},
		}
	case quarantine.Hold:
		return &peerpb.EvidenceRumor{
			Hold: &peerpb.KeyHold{
				Key:      o.Key,
				Rank:     int32(o.Rank),
				AgeMs:    now.Sub(o.Since).Milliseconds(),
				Failures: int32(o.Failures),
				Ends:     int32(o.Ends),
			},
		}
	}
	return nil
}

func endRumor(e quarantine.End, now time.Time) *peerpb.UpstreamEnd {
	r := &peerpb.UpstreamEnd{
		Incarnation: e.Incarnation,
		AgeMs:       now.Sub(e.At).Milliseconds(),
	}
	for _, a := range e.Attempts {
		r.Attempts = append(r.Attempts, &peerpb.EndedAttempt{
			Key:       a.Key.Hash,
			Rank:      int32(a.Key.Rank),
			RanMs:     e.At.Sub(a.Began).Milliseconds(),
			Succeeded: a.Succeeded,
			Request:   a.Request,
		})
	}
	return r
}

func endFromRumor(r *peerpb.UpstreamEnd, now time.Time) quarantine.End {
	e := quarantine.End{
		Incarnation: r.GetIncarnation(),
		At:          before(now, r.GetAgeMs()),
	}
	for _, a := range r.GetAttempts() {
		e.Attempts = append(e.Attempts, quarantine.Attempt{
			Key: quarantine.Key{
				Hash: a.GetKey(),
				Rank: int(a.GetRank()),
			},
			Began:     before(e.At, a.GetRanMs()),
			Succeeded: a.GetSucceeded(),
			Request:   a.GetRequest(),
		})
	}
	return e
}

// before returns the time that lies some milliseconds before another, or that one if the number is negative.
func before(t time.Time, ms int64) time.Time {
	return t.Add(-ageOf(ms))
}

// maxAge bounds the age of an observation in a rumor. The time of an older one could overflow, and the observation
// would then count as one of the future, which never expires.
const maxAge = 10 * 365 * 24 * time.Hour

// ageOf converts the age in a rumor, in milliseconds.
func ageOf(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}
