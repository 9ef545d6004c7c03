package membership

import (
	"slices"
	"sort"
	"time"
)

const (
	// maxTimeoutDoublings limits how often deadTimeout doubles for a member.
	maxTimeoutDoublings = 7
	// deathCountTTL is how long after the last declaration of death a count is used.
	deathCountTTL = time.Hour
	// dialHeadStart is how long the greater incarnation of a pair waits for the
	// smaller one to dial, so that the two do not open a link each.
	dialHeadStart = 500 * time.Millisecond
)

// watch is the failure detector's state for one neighbour.
type watch struct {
	// since is when the neighbour was chosen, or zero if the watch began with a link.
	since        time.Time
	lastReceived time.Time
	// linked is set once a message from the neighbour has arrived over a link.
	linked bool
}

// deathCount counts how often this process has declared a member dead. A count matters
// only for a member that refuted its death: then the declarations were false positives.
type deathCount struct {
	count int
	at    time.Time
}

// choose selects the neighbours again if the set of living members has changed.
func (t *Table) choose() {
	if !t.livingChanged {
		return
	}
	t.livingChanged = false
	t.chosen = map[string]bool{}
	others := t.ranked()
	for i, e := range others {
		if i < t.cfg.NeighbourCount {
			t.chosen[e.Incarnation] = true
		}
	}
	if len(others) > t.cfg.NeighbourCount {
		t.chooseRemote(others)
	}
	now := time.Now()
	for inc := range t.chosen {
		if _, ok := t.watches[inc]; !ok {
			t.watches[inc] = &watch{
				since:        now,
				lastReceived: now,
			}
		}
	}
}

// chooseRemote makes sure that one neighbour is in another region, or, if all members are
// in one region, in another data centre. Otherwise no daemon outside might be watching
// this one when its region or data centre is cut off.
func (t *Table) chooseRemote(others []*entry) {
	own := t.selfMember().DataCentre
	for d := distanceRemote; d > distanceSame; d-- {
		remote := slices.IndexFunc(others, func(e *entry) bool {
			return distance(own, e.DataCentre) >= d
		})
		if remote < 0 {
			continue
		}
		if remote >= t.cfg.NeighbourCount {
			delete(t.chosen, others[t.cfg.NeighbourCount-1].Incarnation)
			t.chosen[others[remote].Incarnation] = true
		}
		return
	}
}

// ranked returns the other living members by descending score.
func (t *Table) ranked() []*entry {
	others := make([]*entry, 0, len(t.members))
	for _, e := range t.livingMembers() {
		if e.Incarnation != t.self {
			others = append(others, e)
		}
	}
	sort.Slice(others, func(i, j int) bool {
		return others[i].score > others[j].score
	})
	return others
}

// checkTimeouts declares unresponsive neighbours dead and closes links that have received
// nothing for HeartbeatTimeout.
func (t *Table) checkTimeouts(now time.Time) {
	for inc, w := range t.watches {
		e, ok := t.members[inc]
		_, linked := t.linked[inc]
		if !linked && (!ok || e.State == Dead || !t.chosen[inc] && !w.linked) {
			delete(t.watches, inc)
			continue
		}
		if now.Sub(w.lastReceived) < t.deadTimeout(inc, w, now) {
			continue
		}
		delete(t.watches, inc)
		t.declareDead(inc)
		if l, ok := t.linked[inc]; ok {
			l.close()
		}
	}
	for l := range t.links {
		if now.Sub(l.lastReceived) >= t.cfg.HeartbeatTimeout {
			l.close()
		}
	}
}

// deadTimeout returns the time without a message after which a neighbour is declared dead.
// It doubles with each earlier declaration that the neighbour refuted, within
// deathCountTTL and up to maxTimeoutDoublings times.
func (t *Table) deadTimeout(inc string, w *watch, now time.Time) time.Duration {
	d := t.cfg.UnreachableAfter
	if w.linked {
		d = t.cfg.HeartbeatTimeout
	}
	s, ok := t.deathCounts[inc]
	if !ok || now.Sub(s.at) > deathCountTTL {
		return d
	}
	return d << s.count
}

func (t *Table) countDeath(inc string) {
	s := t.deathCounts[inc]
	t.deathCounts[inc] = deathCount{
		count: min(s.count+1, maxTimeoutDoublings),
		at:    time.Now(),
	}
}

// dropUnwanted closes links that neither end has chosen for UnwantedAfter.
func (t *Table) dropUnwanted(now time.Time) {
	for l := range t.links {
		if t.chosen[l.peer] {
			l.wantedAt = now
		}
		if now.Sub(l.wantedAt) >= t.cfg.UnwantedAfter {
			l.close()
		}
	}
}

// DialTargets returns the peer addresses to connect to now: those of neighbours without a
// link and, every ProbeInterval, a seed or the address of a dead member.
func (t *Table) DialTargets() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.choose()
	var addrs []string
	for inc, w := range t.watches {
		e, ok := t.members[inc]
		if !ok || t.linked[inc] != nil {
			continue
		}
		if t.self > inc && now.Sub(w.since) < dialHeadStart {
			continue
		}
		addrs = append(addrs, e.PeerAddr)
	}
	return append(addrs, t.nextProbe(now)...)
}

// nextProbe returns at most one address: a random one without a living member, once every
// ProbeInterval, or once a heartbeat interval while there is no link at all.
func (t *Table) nextProbe(now time.Time) []string {
	interval := t.cfg.ProbeInterval
	if len(t.linked) == 0 {
		interval = t.cfg.HeartbeatInterval
	}
	if now.Sub(t.probeAt) < interval {
		return nil
	}
	t.probeAt = now
	var addrs []string
	for addr := range t.seeds {
		if !t.hasLivingMember(addr) {
			addrs = append(addrs, addr)
		}
	}
	for addr := range t.lost {
		if _, ok := t.seeds[addr]; !ok {
			addrs = append(addrs, addr)
		}
	}
	if len(addrs) == 0 {
		return nil
	}
	sort.Strings(addrs)
	return []string{addrs[t.rand.IntN(len(addrs))]}
}

func (t *Table) hasLivingMember(addr string) bool {
	e, ok := t.members[t.byAddr[addr]]
	return ok && e.State != Dead
}
