package entryhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/hostcapacity"
	"sequoiafork/internal/stageowner"
)

// TestLargestHostOwnsStageWork guards against an owner on a host that is too small for the stage work of a deployment
// because it started last: a host of 0.144 cores did not answer the jobs of 74 daemons in time, and each daemon then
// scheduled its own. It also guards against an ownership that stays on a small host once a large one is
// back, or moves between hosts of similar size.
func TestLargestHostOwnsStageWork(t *testing.T) {
	v := &invoker{}
	large := idleOn(t, 0.8, noCaller{}, v)
	large.run(t)
	seed := large.PeerAddr()
	similar := idleOn(t, 0.48, noCaller{}, v, seed)
	similar.run(t)
	small := idleOn(t, 0.144, noCaller{}, v, seed)
	small.run(t)
	hosts := []*running{large, similar, small}
	for _, h := range hosts {
		configure(h)
	}
	owner := agreed(t, hosts)
	require.NotSame(t, small, owner, "the smallest host owns the stage work")

	owner.end()
	hosts = without(hosts, owner)
	next := agreed(t, hosts)
	require.NotSame(t, small, next, "the smallest host owns the stage work while a larger one lives")

	next.end()
	require.Same(t, small, agreed(t, []*running{small}), "the only host owns the stage work")

	back := idleOn(t, 0.8, noCaller{}, v, small.PeerAddr())
	back.run(t)
	configure(back)
	require.Same(t, back, agreed(t, []*running{small, back}), "the large host owns the stage work again")
}

// configure gives a daemon its routes and upstreams, so that it can be the owner.
func configure(r *running) {
	r.SetTable(tableOf(1), []byte("1"), "test")
	r.SetUpstreams(upstreams())
}

// TestFirstOwnerAfterTotalRestart guards against a small host that gets all stage work in the seconds after all daemons
// have started again, when each knows only the addresses and capacities that the platform lists.
func TestFirstOwnerAfterTotalRestart(t *testing.T) {
	h := idleOn(t, 0.144, noCaller{}, &invoker{})
	var list []stageowner.Address
	for i, milliCores := range []uint32{144, 144, 800, 144, 0} {
		list = append(list, stageowner.Address{
			Addr: fmt.Sprintf("192.0.2.%d:1", i),
			Capacity: hostcapacity.Capacity{
				MilliCores: milliCores,
			},
		})
	}
	h.AddListedPeers(list[:2])
	h.AddListedPeers(list[2:4])
	require.Equal(t, list[2].Addr, h.submitter.owner().PeerAddr)
	h.AddPeers([]string{list[2].Addr}) // From the settings, without a capacity.
	require.Equal(t, list[2].Addr, h.submitter.owner().PeerAddr, "a known capacity is forgotten")
	h.submitter.avoided.Add(list[2].Addr, time.Minute)
	require.NotEqual(t, list[2].Addr, h.submitter.owner().PeerAddr)
}
