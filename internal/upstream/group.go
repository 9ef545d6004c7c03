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

// refillInterval is how often a subset takes in upstreams whose marks expired.
const refillInterval = time.Second

// group is one service. It is the shard of a Set, with a lock of its own.
type group struct {
	mu      sync.Mutex
	cfg     *Config
	service string
	rng     *rand.Rand
	// members are the upstreams by the key of their host.
	members map[string]*member
	// order is every member, in the order in which this daemon takes them
	// into its subset.
	order []*member
	// subset is the members that this daemon uses.
	subset []*member
	// hashes are those of subset, side by side for a fast search.
	hashes    []uint64
	refillAt  time.Time
	lastIndex int
	daemons   int
	epoch     time.Time
	// latency is the mean time of the group in nanoseconds.
	latency  float64
	capacity cachedCapacity
	mean     cachedMean
}

func newGroup(cfg *Config, service string, daemons int) *group {
	return &group{
		cfg:     cfg,
		service: service,
		rng:     rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(service))),
		members: make(map[string]*member),
		daemons: daemons,
		epoch:   time.Now(),
	}
}

// replace takes over the hosts of the service from a new host list.
func (g *group) replace(hosts []Host, marks map[string]stateOverride, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := make(map[string]*member, len(hosts))
	for _, h := range hosts {
		m, ok := g.members[h.key()]
		if !ok {
			m = &member{
				hash: xxhash.Sum64String(h.key()),
			}
			if mk, marked := marks[h.Addr]; marked {
				g.setOverride(m, mk, now)
			}
		}
		if ok && m.host.State != Live && h.State == Live {
			m.override = stateOverride{}
		}
		m.host = h
		members[h.key()] = m
	}
	g.members = members
	g.reorder()
	g.refill(now)
}

// reorder ranks the members for this daemon: its own order in each data
// centre, and the data centres in turn.
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

// refill takes the first members in order that do not leave, so many that
// enough of them live.
func (g *group) refill(now time.Time) {
	g.refillAt = now.Add(refillInterval)
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
}

// size returns the number of live members of a full subset. The subsets of
// all daemons together cover every upstream several times.
func (g *group) size() int {
	const coverage = 4
	return max(g.cfg.SubsetSize, (coverage*len(g.order)+g.daemons-1)/g.daemons)
}

// mix spreads the bits of x by folding a product of twice its width.
func mix(x uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	hi, lo := bits.Mul64(x, multiplier)
	return hi ^ lo
}
