package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Generator generates a trace. Equal fields generate equal traces.
type Generator struct {
	Deployment Deployment
	Seed       uint64
	Length     time.Duration
	// PerSecond is the mean rate of arrivals outside bursts and floods.
	PerSecond float64
	// BurstFactor multiplies the rate of all traffic from BurstAt for BurstLength.
	// If FloodWorkspace is set, that workspace instead sends additional traffic
	// at BurstFactor times the mean rate during that time.
	BurstFactor    float64
	BurstAt        time.Duration
	BurstLength    time.Duration
	FloodWorkspace string
	// Prefixes is the number of distinct long prompt prefixes of each workspace.
	Prefixes int
}

const (
	// prefixBytes is the size of a shared prefix, and maxSuffixBytes the limit of
	// the size of the part that follows it.
	prefixBytes    = 1100
	maxSuffixBytes = 2000
	// repeatedInputBytes is the size of the inputs of routes with DistinctInputs.
	repeatedInputBytes = 200
)

// Generate returns the trace.
func (g Generator) Generate() []Arrival {
	rng := rand.New(rand.NewPCG(g.Seed, g.Seed))
	var list []Arrival
	baseRate := g.PerSecond
	at := time.Duration(0)
	for {
		rate := baseRate
		if g.inBurst(at) && g.FloodWorkspace == "" {
			rate *= g.BurstFactor
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= g.Length {
			break
		}
		list = append(list, g.newArrival(rng, at, g.pickWorkspace(rng), len(list)))
	}
	if g.FloodWorkspace != "" {
		list = g.appendFlood(rng, list)
	}
	return list
}

func (g Generator) inBurst(at time.Duration) bool {
	return at >= g.BurstAt && at < g.BurstAt+g.BurstLength
}

func (g Generator) appendFlood(rng *rand.Rand, list []Arrival) []Arrival {
	rate := g.PerSecond * g.BurstFactor
	for at := g.BurstAt; g.inBurst(at); at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		list = append(list, g.newArrival(rng, at, g.FloodWorkspace, len(list)))
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return int(a.ArrivalMs - b.ArrivalMs) })
	return list
}

func (g Generator) newArrival(rng *rand.Rand, at time.Duration, workspace string, n int) Arrival {
	route := g.pickRoute(rng)
	a := Arrival{
		ArrivalMs:  at.Milliseconds(),
		Workspace:  workspace,
		Route:      route.Name,
		DeadlineMs: route.DeadlineMs,
		Repeatable: true,
	}
	for _, s := range route.Stages {
		if s.NonIdempotent {
			a.Repeatable = false
			a.IdempotencyKey = fmt.Sprintf("k%d", n)
		}
	}
	if route.DistinctInputs > 0 {
		a.Prefix = fmt.Sprintf("item%d", zipf(rng, route.DistinctInputs))
		a.InputBytes = repeatedInputBytes
		return a
	}
	a.Prefix = fmt.Sprintf("%s%d", workspace, zipf(rng, max(g.Prefixes, 1)))
	a.InputBytes = prefixBytes + rng.IntN(maxSuffixBytes)
	return a
}

// zipf returns a Zipf-distributed number below n; smaller numbers are more frequent.
func zipf(rng *rand.Rand, n int) uint64 {
	const skew = 1.2
	return rand.NewZipf(rng, skew, 1, uint64(n-1)).Uint64()
}

func (g Generator) pickWorkspace(rng *rand.Rand) string {
	list := g.Deployment.Workspaces
	i := weightedIndex(rng, len(list), func(i int) float64 { return list[i].Share })
	return list[i].Name
}

func (g Generator) pickRoute(rng *rand.Rand) Route {
	list := g.Deployment.Routes
	return list[weightedIndex(rng, len(list), func(i int) float64 { return list[i].Share })]
}

// weightedIndex returns a random index below n with a probability proportional to
// its weight.
func weightedIndex(rng *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	x := rng.Float64() * total
	for i := range n {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}
