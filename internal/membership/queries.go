package membership

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"sequoiafork/internal/hostcapacity"
)

// Members returns every known member, including dead ones, sorted by incarnation.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.members))
	for _, e := range t.members {
		members = append(members, e.Member)
	}
	sort.Slice(members, func(i, j int) bool {
		return members[i].Incarnation < members[j].Incarnation
	})
	return members
}

// Self returns the entry of this process.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selfMember()
}

// LargestHost returns the capacity of the largest host with a living member that is not leaving.
func LargestHost(members []Member) hostcapacity.Capacity {
	var largest hostcapacity.Capacity
	for _, m := range members {
		if m.State == Alive {
			largest = largest.Max(m.Capacity)
		}
	}
	return largest
}

// Lookup returns the entry of an incarnation, if it is known.
func (t *Table) Lookup(incarnation string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.members[incarnation]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// LinkedMembers returns the living members that this process has a link to, sorted by
// incarnation.
func (t *Table) LinkedMembers() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for _, e := range t.livingMembers() {
		if t.linked[e.Incarnation] != nil {
			members = append(members, e.Member)
		}
	}
	return members
}

// CountApplied returns how many of the living daemons are known to have applied a
// revision, and how many living daemons there are. Both include this one.
func (t *Table) CountApplied(revision uint64) (applied, total int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.livingMembers() {
		total++
		if e.Revision >= revision {
			applied++
		}
	}
	return applied, total
}

// Count returns how many members are alive and how many are leaving.
func (t *Table) Count() (alive, leaving int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.livingMembers() {
		if e.State == Alive {
			alive++
		} else {
			leaving++
		}
	}
	return alive, leaving
}

// Resolve returns the caller addresses that a caller should use, best first, and how
// long it may cache them. Members that are leaving or dead are excluded. Members in the
// caller's data centre come first, then those in its region (the part of the data
// centre's name before the last '/'), then the rest. Each group is ordered by rendezvous
// hash of the caller, so losing a host moves only that host's callers. A truncated result
// reserves places for other data centres. Members on hosts that are too small beside the others are
// left out; see hostcapacity.Least.
func (t *Table) Resolve(caller, dataCentre string) ([]string, time.Duration) {
	hash := hashString(caller)
	t.mu.Lock()
	candidates := make([]candidate, 0, len(t.members))
	hosts := make([]hostcapacity.Capacity, 0, len(t.members))
	for _, e := range t.livingMembers() {
		// A member that has reported no revision has no configuration to serve with.
		if e.State == Alive && e.CallerAddr != "" && e.Revision > 0 {
			candidates = append(candidates, candidate{
				addr:     e.CallerAddr,
				distance: distance(dataCentre, e.DataCentre),
				score:    mix(hash ^ e.callerHash),
				capacity: e.Capacity,
			})
			hosts = append(hosts, e.Capacity)
		}
	}
	t.mu.Unlock()
	least := hostcapacity.Least(hosts)
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.capacity.Less(least) })
	slices.SortFunc(candidates, candidate.compare)
	return truncate(candidates, t.cfg.ResolveMax), t.cfg.ResolveTTL
}

// maxRemotePlaces is the maximum number of places that a truncated result reserves for
// other data centres.
const maxRemotePlaces = 2

type candidate struct {
	addr     string
	distance int
	score    uint64
	capacity hostcapacity.Capacity
}

// compare orders candidates by distance, then by descending score.
func (c candidate) compare(other candidate) int {
	if c.distance != other.distance {
		return c.distance - other.distance
	}
	return cmp.Compare(other.score, c.score)
}

// Distances between data centres.
const (
	distanceSame = iota
	distanceRegion
	distanceRemote
)

func distance(a, b string) int {
	if a == b {
		return distanceSame
	}
	if r := region(a); r != "" && r == region(b) {
		return distanceRegion
	}
	return distanceRemote
}

func region(dataCentre string) string {
	i := strings.LastIndexByte(dataCentre, '/')
	if i < 0 {
		return ""
	}
	return dataCentre[:i]
}

// truncate returns the addresses of the best candidates, at most limit. The last places are
// reserved for the best candidates of other data centres.
func truncate(candidates []candidate, limit int) []string {
	near := 0
	for near < len(candidates) && candidates[near].distance == distanceSame {
		near++
	}
	if remote := min(maxRemotePlaces, len(candidates)-near, limit/2); near > limit-remote {
		near = limit - remote + copy(candidates[limit-remote:], candidates[near:near+remote])
		candidates = candidates[:near]
	}
	addrs := make([]string, 0, limit)
	for _, c := range candidates[:min(limit, len(candidates))] {
		addrs = append(addrs, c.addr)
	}
	return addrs
}

// Upstream returns the gossiped state of an upstream.
func (t *Table) Upstream(addr string) UpstreamState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.upstreams.observations[addr].state
}
