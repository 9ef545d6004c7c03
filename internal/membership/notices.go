package membership

import (
	"math"
	"time"

	"sequoiafork/internal/wire/peerpb"
)

// noticeTTL is how long a rumor about a notice is kept for daemons that join. A limit that stays is
// reported again sooner; that an upstream leaves is kept for Config.LeavingTTL.
const noticeTTL = 30 * time.Second

// UpstreamNotice is what an upstream said of itself in a response to one of the daemons.
type UpstreamNotice struct {
	Service string
	// Incarnation is that of the upstream.
	Incarnation string
	// Leaving reports that the upstream leaves, which it never takes back. The other fields then say
	// nothing.
	Leaving bool
	// Limited reports that it limits the rate of requests of all daemons together, to PerSecond
	// requests a second.
	Limited   bool
	PerSecond float64
	// ObservedAt is the time of the observation.
	ObservedAt time.Time
}

// noticeObservation is a notice with the identity of its rumor.
type noticeObservation struct {
	UpstreamNotice
	origin   string
	sequence uint64
}

// noticeKey identifies what a notice is about: that an upstream leaves, or the limit of its rate.
type noticeKey struct {
	incarnation string
	leaving     bool
}

// key returns the key of the notice. A later notice replaces an earlier one with the same key.
func (n UpstreamNotice) key() noticeKey {
	return noticeKey{
		incarnation: n.Incarnation,
		leaving:     n.Leaving,
	}
}

// noticeTable holds the latest observation for each key.
type noticeTable struct {
	observations map[noticeKey]noticeObservation
	sequence     uint64
	events       []UpstreamNotice
}

func newNoticeTable() noticeTable {
	return noticeTable{
		observations: map[noticeKey]noticeObservation{},
	}
}

// ReportNotice gossips a notice that this process itself has received.
func (t *Table) ReportNotice(n UpstreamNotice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notices.sequence++
	o := noticeObservation{
		UpstreamNotice: n,
		origin:         t.self,
		sequence:       t.notices.sequence,
	}
	t.notices.observations[n.key()] = o
	t.flood([]*peerpb.Rumor{o.rumor(time.Now())}, nil)
}

// mergeNotice merges a rumor and reports whether to forward it. One that is older than what is known, or whose
// rate is no number of requests, is not forwarded.
func (t *Table) mergeNotice(r *peerpb.NoticeRumor, now time.Time) bool {
	o := noticeFromRumor(r, now)
	if math.IsNaN(o.PerSecond) || math.IsInf(o.PerSecond, 0) || o.PerSecond < 0 {
		return false
	}
	if o.origin == t.self || now.Sub(o.ObservedAt) >= t.noticeTTL(o) {
		return false
	}
	if old, ok := t.notices.observations[o.key()]; ok && !o.supersedes(old) {
		return false
	}
	t.notices.observations[o.key()] = o
	t.notices.events = append(t.notices.events, o.UpstreamNotice)
	return true
}

// supersedes reports whether o is newer than another observation of the same upstream. Copies of a
// rumor that arrive over other links are not.
func (o noticeObservation) supersedes(old noticeObservation) bool {
	if o.origin == old.origin {
		return o.sequence > old.sequence
	}
	if o.ObservedAt.Equal(old.ObservedAt) {
		return o.origin > old.origin
	}
	return o.ObservedAt.After(old.ObservedAt)
}

// noticeRumors returns rumors of all current observations, to be sent on a new link.
func (t *Table) noticeRumors(now time.Time) []*peerpb.Rumor {
	var rumors []*peerpb.Rumor
	for _, o := range t.notices.observations {
		rumors = append(rumors, o.rumor(now))
	}
	return rumors
}

// noticeTTL returns how long an observation is kept.
func (t *Table) noticeTTL(o noticeObservation) time.Duration {
	if o.Leaving {
		return t.cfg.LeavingTTL
	}
	return noticeTTL
}

// expireNotices drops old observations.
func (t *Table) expireNotices(now time.Time) {
	for key, o := range t.notices.observations {
		if now.Sub(o.ObservedAt) >= t.noticeTTL(o) {
			delete(t.notices.observations, key)
		}
	}
}

func (o noticeObservation) rumor(now time.Time) *peerpb.Rumor {
	return &peerpb.Rumor{
		Notice: &peerpb.NoticeRumor{
			Service:     o.Service,
			Incarnation: o.Incarnation,
			Leaving:     o.Leaving,
			Limited:     o.Limited,
			PerSecond:   o.PerSecond,
			Origin:      o.origin,
			Sequence:    o.sequence,
			AgeMs:       now.Sub(o.ObservedAt).Milliseconds(),
		},
	}
}

func noticeFromRumor(r *peerpb.NoticeRumor, now time.Time) noticeObservation {
	age := ageOf(r.GetAgeMs())
	return noticeObservation{
		UpstreamNotice: UpstreamNotice{
			Service:     r.GetService(),
			Incarnation: r.GetIncarnation(),
			Leaving:     r.GetLeaving(),
			Limited:     r.GetLimited(),
			PerSecond:   r.GetPerSecond(),
			ObservedAt:  now.Add(-age),
		},
		origin:   r.GetOrigin(),
		sequence: r.GetSequence(),
	}
}
