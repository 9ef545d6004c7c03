package membership

import (
	"slices"
	"sort"
	"time"
)

const (
	// maxTimeoutDoublings bounds how far wrong declarations stretch the patience with a member.
	maxTimeoutDoublings = 7
	// deathCountTTL is how long a wrong declaration counts.
	deathCountTTL = time.Hour
	// dialHeadStart is how long the greater incarnation of a pair waits for the
	// smaller one to dial.
	dialHeadStart = 500 * time.Millisecond
)

// watch is this process's own sight of one neighbour.
type watch struct {
	since        time.Time
	lastReceived time.Time
	// linked says that a link to the neighbour has existed.
	linked bool
}

// deathCount counts the times that this process declared a member dead.
type deathCount struct {
	count int
	at    time.Time
}

// choose picks the neighbours again when the set of living members has changed.
func (t *Table) choose() {
	if !t.livingChanged {
		return
	}
	t.livingChanged = false
	t.chosen = map[string]bool{}
	others := t.ranked()
	for i, e := range others {
		if i < t.cfg.Neighbours {
			t.chosen[e.Incarnation] = true
		}
	}
	if len(others) > t.cfg.Neighbours {
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

// chooseRemote makes sure that one neighbour is in another region, or where there is
// none in another data centre. Else nobody outside would watch this daemon when its
// data centre or region is cut off.
func (t *Table) chooseRemote(others []*entry) {
	own := t.selfMember().DataCentre
	for d := distanceRemote; d > distanceSame; d-- {
		remote := slices.IndexFunc(others, func(e *entry) bool {
			return distance(own, e.DataCentre) >= d
		})
		if remote < 0 {
			continue
		}
		if remote >= t.cfg.Neighbours {
			delete(t.chosen, others[t.cfg.Neighbours-1].Incarnation)
			t.chosen[others[remote].Incarnation] = true
		}
		return
	}
}

// ranked returns the other living members by score, highest first.
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

// checkTimeouts declares the silent dead and closes links that never spoke.
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

// deadTimeout is the silence after which a neighbour is declared dead. It doubles each
// time that the neighbour proves this process wrong.
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

// dropUnwanted closes links that neither end has chosen for a while.
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

// DialTargets returns the peer addresses to connect to now: neighbours without a link,
// and from time to time a seed or a lost member's address.
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

// nextProbe returns one random address without a living member, at most once in
// ProbeEvery, or once a heartbeat while there is no link at all.
func (t *Table) nextProbe(now time.Time) []string {
	interval := t.cfg.ProbeEvery
	if len(t.linked) == 0 {
		interval = t.cfg.Heartbeat
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
