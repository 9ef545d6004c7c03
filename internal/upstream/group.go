package upstream

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rebuildInterval is the interval at which a subset is rebuilt, so that upstreams
// whose overrides have expired are added.
const rebuildInterval = time.Second

// group holds the upstreams of one service. It is a shard of a Set with its own mutex.
type group struct {
	mu      sync.Mutex
	cfg     *Config
	service string
	rng     *rand.Rand
	// members maps the key of a host to its upstream.
	members map[string]*member
	// order holds all members in the order in which this daemon adds them to its
	// subset.
	order []*member
	// subset holds the members that this daemon uses.
	subset []*member
	// hashes holds the hashes of subset, contiguous for a fast search.
	hashes    []uint64
	rebuildAt time.Time
	// lastIndex is the index in subset at which the last RoundRobin choice started.
	lastIndex int
	daemons   int
	// epoch is the reference time of member.startSum.
	epoch time.Time
	// latency is the moving mean of the group's attempt latencies in
	// nanoseconds, corrected for queueing.
	latency  float64
	capacity cachedCapacity
	// ejected holds the watches of attempts on upstreams that were ejected, until
	// notifyEjected calls them.
	ejected []*ejectionWatch
	mean    cachedMean
	// maxSpeedWeight is the highest weight of a member by its speed, at least one.
	maxSpeedWeight float64
}

func newGroup(cfg *Config, service string, daemons int) *group {
	return &group{
		cfg:            cfg,
		service:        service,
		rng:            rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(service))),
		members:        make(map[string]*member),
		daemons:        daemons,
		epoch:          time.Now(),
		maxSpeedWeight: 1,
	}
}

// replace replaces the hosts of the service by those of a new host list.
func (g *group) replace(hosts []Host, pending map[string]stateOverride, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := make(map[string]*member, len(hosts))
	for _, h := range hosts {
		m, ok := g.members[h.key()]
		if !ok {
			m = &member{
				hash: xxhash.Sum64String(h.key()),
			}
			if ov, found := pending[h.Addr]; found {
				g.setOverride(m, ov, now)
			}
		}
		if ok && m.host.State != Live && h.State == Live {
			m.override = stateOverride{}
		}
		m.host = h
		g.updateCold(m, now)
		members[h.key()] = m
	}
	g.members = members
	g.reorder()
	g.rebuildSubset(now)
}

// reorder ranks the members for this daemon: in each data centre by a hash that
// depends on the daemon, then interleaved over the data centres.
func (g *group) reorder() {
	self := xxhash.Sum64String(g.cfg.Self)
	byCentre := make(map[string][]*member)
	for _, m := range g.members {
		byCentre[m.host.DataCentre] = append(byCentre[m.host.DataCentre], m)
	}
	centres := make([]string, 0, len(byCentre))
	for name, list := range byCentre {
		centres = append(centres, name)
		slices.SortFunc(list, func(a, b *member) int {
			return cmp.Or(
				cmp.Compare(mix(a.hash^self), mix(b.hash^self)),
				cmp.Compare(a.host.Addr, b.host.Addr),
			)
		})
	}
	slices.Sort(centres)
	g.order = make([]*member, 0, len(g.members))
	for i := 0; len(g.order) < len(g.members); i++ {
		for _, name := range centres {
			if list := byCentre[name]; i < len(list) {
				g.order = append(g.order, list[i])
			}
		}
	}
}

// rebuildSubset rebuilds the subset from the first members of g.order that are not
// leaving, until it has size() live ones.
func (g *group) rebuildSubset(now time.Time) {
	g.rebuildAt = now.Add(rebuildInterval)
	g.subset = g.subset[:0]
	g.hashes = g.hashes[:0]
	live := 0
	for _, m := range g.order {
		st := m.state(now)
		if st == Leaving || live == g.size() {
			continue
		}
		if st == Live {
			live++
		}
		g.subset = append(g.subset, m)
		g.hashes = append(g.hashes, m.hash)
	}
	g.reinstate(now)
	g.refreshLimits(now)
	g.logWarmed(now)
	g.compareSpeeds()
}

// size returns the number of live members of a full subset. It is such that each
// upstream is in the subsets of several daemons: at least coverage on average.
func (g *group) size() int {
	const coverage = 4
	return max(g.cfg.SubsetSize, (coverage*len(g.order)+g.daemons-1)/g.daemons)
}

// mix hashes x by XORing the high and low halves of its 128-bit product with an odd
// constant.
func mix(x uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	hi, lo := bits.Mul64(x, multiplier)
	return hi ^ lo
}
