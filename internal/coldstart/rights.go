package coldstart

import (
	"slices"
	"sync"
	"time"

	"sequoiafork/internal/ratelimit"
)

const (
	// settleTime is how long after its start, or after it was suspended, a daemon has no rights: until it
	// knows the others and they know it.
	settleTime = 3 * time.Second
	// doubtTime is how long after it was suspended a daemon takes its list for out of date.
	doubtTime = time.Second
	// maxBeatGap is the longest time between two beats of a daemon that was not suspended.
	maxBeatGap = time.Second
)

// View is what a daemon knows of the daemons. It is an immutable value.
type View struct {
	// Self is the name of this daemon, Living those of the living ones. It may lack or have Self.
	Self   string
	Living []string
	// Owner is the name of the living daemon that owns the stage work.
	Owner string
	// Known is the number of daemons that there may be, reachable or not.
	Known int
}

func (v View) equal(o View) bool {
	return v.Self == o.Self && v.Owner == o.Owner && v.Known == o.Known && slices.Equal(v.Living, o.Living)
}

// share returns the place of the daemon for the upstream with a key.
func (v View) share(key uint64) Share {
	rank, living := ratelimit.Rank(v.Self, v.Living, key)
	return Share{
		Rank:   rank,
		Living: living,
		Known:  v.Known,
	}
}

// ownerShare returns the place of the daemon where only the owner of the stage work sends.
func (v View) ownerShare() Share {
	_, living := ratelimit.Rank(v.Self, v.Living, 0)
	s := Share{
		Living: living,
		Known:  v.Known,
		Sole:   true,
	}
	if v.Owner != v.Self {
		s.Rank = 1
	}
	return s
}

// Rights are what a daemon may do as one of the daemons. A daemon that has just started or was suspended has none for
// settleTime. Beat must be called several times a second: a daemon whose beats are late was suspended. Rights is safe
// for concurrent use.
type Rights struct {
	mu   sync.Mutex
	view View
	// version counts the changes of view. At zero none is known, and there are no rights.
	version int
	// beatAt is when Beat was last called.
	beatAt time.Time
	// from is when the daemon has rights, doubtUntil until when its list may be out of date.
	from       time.Time
	doubtUntil time.Time
	// epoch counts how often the rights have lapsed, lapsedBeat is the beat after which they did so last.
	epoch      int
	lapsedBeat time.Time
}

// NewRights returns the rights of a daemon that starts now.
func NewRights(now time.Time) *Rights {
	return &Rights{
		beatAt: now,
		from:   now.Add(settleTime),
	}
}

// Beat shows that the daemon runs.
func (r *Rights) Beat(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(now)
	r.beatAt = now
}

// SetView sets what the daemon knows of the daemons.
func (r *Rights) SetView(v View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version > 0 && r.view.equal(v) {
		return
	}
	r.view = v
	r.version++
}

// Suspensions returns how often the daemon has found that it was suspended.
func (r *Rights) Suspensions() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

// observe ends the rights if the daemon was suspended. The caller holds mu.
func (r *Rights) observe(now time.Time) {
	if gap(r.beatAt, now) <= maxBeatGap {
		return
	}
	if r.lapsedBeat != r.beatAt {
		r.lapsedBeat = r.beatAt
		r.epoch++
	}
	r.from = now.Add(settleTime)
	r.doubtUntil = now.Add(doubtTime)
}

// gap returns the time between two readings of the clock. It takes the longer one of what the clock that stops while
// the machine is suspended says, and what the wall clock says.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// standing is the state of the rights at one time.
type standing struct {
	from       time.Time
	doubtUntil time.Time
	epoch      int
	version    int
}

func (r *Rights) standing(now time.Time) standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(now)
	return standing{
		from:       r.from,
		doubtUntil: r.doubtUntil,
		epoch:      r.epoch,
		version:    r.version,
	}
}

func (r *Rights) currentView() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}
