package upstream

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestChoiceByAffinity guards against a search for the upstream of an affinity that skips the one with the
// highest rank. A seeded play compares each choice with that of a search that ranks all eligible members.
func TestChoiceByAffinity(t *testing.T) {
	const picks = 20_000
	weights := []map[string]float64{
		nil,
		{
			"a": 2.5,
			"b": 0.4,
		},
		{
			"a": 0,
			"b": -1,
			"c": 1e-3,
		},
		{
			"a": 0,
			"b": 0,
			"c": 0,
		},
	}
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		set := New(Config{
			DataCentre: "a",
			SubsetSize: 50,
		})
		list := hosts(50)
		for i := range list {
			list[i].Version = []string{"v1", "v2"}[i%2]
		}
		set.Replace(list)
		g := set.group("s")
		var open []Choice
		for n := range picks {
			r := Request{
				Pool:              pool(),
				Affinity:          random.Uint64(),
				DataCentreWeights: weights[random.IntN(len(weights))],
				Version:           "v2",
				PinVersion:        random.IntN(4) == 0,
			}
			now := time.Now()
			g.mu.Lock()
			got, want := g.pickByAffinity(&r, now), g.highestRanked(&r, now)
			g.mu.Unlock()
			require.True(t, got == want, "pick %d: %+v and %+v", n, got, want)
			if choice, err := set.Pick(r); err == nil {
				open = append(open, choice)
			}
			time.Sleep(time.Duration(random.IntN(int(time.Millisecond))))
			open = endSome(random, open)
		}
	})
}

// TestPickAllocatesNothing guards against allocations in a choice, which every request makes.
func TestPickAllocatesNothing(t *testing.T) {
	const runs = 100
	set := New(Config{
		DataCentre: "a",
	})
	set.Replace(hosts(50))
	r := Request{
		Pool: pool(),
		DataCentreWeights: map[string]float64{
			"a": 2.5,
		},
	}
	allocations := testing.AllocsPerRun(runs, func() {
		r.Affinity++
		choice, err := set.Pick(r)
		if err == nil {
			choice.Done(Result{
				Outcome: OK,
				Latency: time.Millisecond,
			})
		}
	})
	require.Zero(t, allocations)
}

// endSome ends attempts, some of which have failed, until few enough are open.
func endSome(random *rand.Rand, open []Choice) []Choice {
	const maxOpen = 100
	for len(open) > random.IntN(maxOpen) {
		i := random.IntN(len(open))
		outcomes := []Outcome{OK, OK, OK, OK, Failed, ConnectFailed, Overloaded, Cancelled}
		open[i].Done(Result{
			Outcome: outcomes[random.IntN(len(outcomes))],
			Latency: time.Duration(random.IntN(int(time.Second))),
		})
		open = append(open[:i], open[i+1:]...)
	}
	return open
}

// highestRanked returns the member of the highest rank by affinity, ranking all that qualify. Of equal ranks the
// first one wins.
func (g *group) highestRanked(r *Request, now time.Time) *member {
	bound := g.cfg.AffinityBound * (g.meanLoad(now) + 1)
	var best *member
	var highest float64
	for i, m := range g.subset {
		maxLoad := min(bound, float64(m.slots(r.Pool.Concurrency)-1))
		if !g.eligible(m, r, now) || g.load(m, now) > maxLoad || m.probation || g.stalled(m, r, now) {
			continue
		}
		rank := math.Inf(-1)
		if weight := r.weight(m.host.DataCentre); weight > 0 {
			rank = math.Log((float64(mix(g.hashes[i]^r.Affinity)>>11)+0.5)/(1<<53)) / weight
		}
		if best == nil || rank > highest {
			best, highest = m, rank
		}
	}
	return best
}
