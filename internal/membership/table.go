package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sequoiafork/internal/wire/peerpb"
)

// ticksPerHeartbeat is how many times Run calls tick in one heartbeat interval.
const ticksPerHeartbeat = 4

// entry is one incarnation in the table.
type entry struct {
	Member
	// score ranks the incarnation as a neighbour of this process.
	score uint64
	// callerHash is the hash of the caller address.
	callerHash uint64
	deadAt     time.Time // when the entry became Dead; zero if it is living
}

// Table is the member table of one daemon. Its methods are safe for concurrent use.
type Table struct {
	cfg Config

	mu            sync.Mutex
	self          string
	members       map[string]*entry
	byAddr        map[string]string // peer address -> the incarnation last stored as living
	digests       [bucketCount]uint64
	living        []*entry        // cache of the living members, sorted by incarnation; nil if invalid
	chosen        map[string]bool // incarnations chosen as neighbours
	livingChanged bool            // the set of living members changed since chosen was computed

	links         map[*Link]struct{} // all open links
	linked        map[string]*Link   // incarnation -> its identified link
	watches       map[string]*watch
	deathCounts   map[string]deathCount
	seeds         map[string]time.Time // address -> when it was last added
	lost          map[string]time.Time // peer address -> when its newest incarnation died
	probeAt       time.Time
	rand          *rand.Rand
	lastTick      time.Time
	lastHeartbeat time.Time
	heartbeatSoon bool      // the next tick sends heartbeats even if the interval has not ended
	lagTarget     uint64    // a peer's next offset that this process has not reached
	lagSince      time.Time // when lagTarget was set

	upstreams upstreamTable
	limiter   *rate.Limiter
	events    []upstreamEvent
	notices   noticeTable

	notifyMu sync.Mutex
}

// New returns a table that knows only this process and its seeds.
func New(cfg Config) *Table {
	cfg = cfg.withDefaults()
	t := &Table{
		cfg:         cfg,
		self:        cfg.Self.Incarnation,
		members:     map[string]*entry{},
		byAddr:      map[string]string{},
		links:       map[*Link]struct{}{},
		linked:      map[string]*Link{},
		watches:     map[string]*watch{},
		deathCounts: map[string]deathCount{},
		seeds:       map[string]time.Time{},
		lost:        map[string]time.Time{},
		rand:        rand.New(rand.NewPCG(cfg.RandSeed, hashString(cfg.Self.Incarnation))),
		upstreams:   newUpstreamTable(),
		notices:     newNoticeTable(),
		limiter:     rate.NewLimiter(rate.Limit(cfg.UpstreamRumorRate), cfg.UpstreamRumorBurst),
	}
	t.put(cfg.Self)
	t.AddSeeds(cfg.Seeds)
	return t
}

// Run sends heartbeats and watches neighbours until ctx is done.
func (t *Table) Run(ctx context.Context) error {
	ticker := time.NewTicker(t.cfg.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		t.tick(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (t *Table) tick(now time.Time) {
	t.mu.Lock()
	t.resetWatchesAfterSuspension(now)
	t.choose()
	t.checkTimeouts(now)
	t.flushUpstreams(now)
	// Half a tick is subtracted because a tick that comes slightly early would otherwise delay
	// the heartbeat by a whole tick.
	if now.Sub(t.lastHeartbeat) >= t.cfg.HeartbeatInterval-t.cfg.HeartbeatInterval/(2*ticksPerHeartbeat) {
		t.dropUnwanted(now)
		t.expire(now)
		t.sendHeartbeats(now)
	} else if t.heartbeatSoon || t.checkLag(now) {
		t.sendHeartbeats(now)
	}
	t.mu.Unlock()
	t.notify()
}

// resetWatchesAfterSuspension restarts the timeout of every watch if this process was
// itself suspended, since it cannot tell which neighbours were unresponsive meanwhile.
func (t *Table) resetWatchesAfterSuspension(now time.Time) {
	suspended := !t.lastTick.IsZero() && now.Sub(t.lastTick) > t.cfg.HeartbeatInterval
	t.lastTick = now
	if !suspended {
		return
	}
	for _, w := range t.watches {
		w.lastReceived = now
	}
}

// put stores a member and updates the digests, the address index and the lost addresses.
func (t *Table) put(m Member) {
	e, ok := t.members[m.Incarnation]
	if !ok {
		e = &entry{
			score: pairScore(t.self, m.Incarnation),
		}
		t.members[m.Incarnation] = e
	} else {
		t.toggleDigest(e.Member)
	}
	wasLiving := ok && e.State != Dead
	e.Member = m
	e.callerHash = hashString(m.CallerAddr)
	t.toggleDigest(m)
	if wasLiving != (m.State != Dead) {
		t.living = nil
		t.livingChanged = true
	}
	if m.State != Dead {
		t.byAddr[m.PeerAddr] = m.Incarnation
		delete(t.lost, m.PeerAddr)
		e.deadAt = time.Time{}
		return
	}
	e.deadAt = time.Now()
	if t.byAddr[m.PeerAddr] == m.Incarnation {
		t.lost[m.PeerAddr] = e.deadAt
	}
}

// expire removes dead incarnations, lost addresses and upstream rumors that have expired.
func (t *Table) expire(now time.Time) {
	for inc, e := range t.members {
		if e.State == Dead && now.Sub(e.deadAt) >= t.cfg.ForgetAfter {
			delete(t.members, inc)
			delete(t.deathCounts, inc)
			if t.byAddr[e.PeerAddr] == inc {
				delete(t.byAddr, e.PeerAddr)
			}
		}
	}
	for addr, at := range t.lost {
		if now.Sub(at) >= t.cfg.ReconnectFor {
			delete(t.lost, addr)
		}
	}
	t.expireUpstreams(now)
	t.expireNotices(now)
}

// flood sends rumors on every identified link except the one that they came from.
func (t *Table) flood(rumors []*peerpb.Rumor, from *Link) {
	if len(rumors) == 0 {
		return
	}
	msg := &peerpb.LinkMessage{
		Rumors: rumors,
	}
	for _, l := range t.linked {
		if l != from {
			l.send(msg)
		}
	}
}

// selfMember returns the entry of this process.
func (t *Table) selfMember() Member {
	return t.members[t.self].Member
}
