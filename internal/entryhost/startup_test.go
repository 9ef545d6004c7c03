package entryhost

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/forward"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/stageowner"
)

// lateStart is the delay of the last start. It is shorter than startupWindow.
const lateStart = 250 * time.Millisecond

// unusedAddresses returns addresses without a daemon that precede those of all hosts by
// hash.
func unusedAddresses(n int, hosts []*running) []string {
	var addrs []string
	for port := 1; len(addrs) < n; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if !slices.ContainsFunc(hosts, func(h *running) bool { return ident.Hash(h.PeerAddr()) < ident.Hash(addr) }) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// schedulerAddr returns the peer address of the daemon that schedules a job.
func schedulerAddr(done forward.SubmittedJob, h *running) string {
	handle := done.(*jobHandle)
	if handle.place.remote == nil {
		return h.PeerAddr()
	}
	return handle.place.owner.PeerAddr
}

// Daemons that start together must submit their first jobs to the same owner, even if
// addresses of stopped daemons are known and the owner starts last.
func TestSimultaneousStartsShareOwner(t *testing.T) {
	v := &invoker{
		work: 50 * time.Millisecond,
	}
	var hosts []*running
	for range 5 {
		hosts = append(hosts, idle(t, v))
	}
	slices.SortFunc(hosts, func(a, b *running) int {
		if ident.Hash(a.PeerAddr()) < ident.Hash(b.PeerAddr()) {
			return -1
		}
		return 1
	})
	addrs := unusedAddresses(3, hosts)
	for _, h := range hosts {
		addrs = append(addrs, h.PeerAddr())
	}
	schedulerAddrs := make(chan string, len(hosts))
	begin := func(i int) {
		h := hosts[i]
		h.run(t)
		h.SetTable(tableOf(1), []byte("1"), "test")
		h.SetUpstreams(upstreams())
		go func() {
			handle, err := h.submitter.Submit(t.Context(), job(fmt.Sprint("j", i)))
			if err != nil {
				schedulerAddrs <- err.Error()
				return
			}
			schedulerAddrs <- schedulerAddr(handle, h)
			handle.Release()
		}()
		time.AfterFunc(20*time.Millisecond, func() { h.AddPeers(addrs) }) // As after a read of the store.
	}
	for i := 1; i < len(hosts); i++ {
		begin(i)
	}
	time.Sleep(lateStart)
	begin(0)
	for range hosts {
		require.Equal(t, hosts[0].PeerAddr(), <-schedulerAddrs)
	}
}

// A daemon that starts among others that have been running for long must determine the same
// owner as they do, even during its joinPeriod.
func TestNewDaemonAgreesOnOwner(t *testing.T) {
	v := &invoker{}
	hosts := cluster(t, v)
	owner := agreed(t, hosts)
	time.Sleep(stageowner.JoinPeriod) // All are past their joinPeriod.
	rest := without(hosts, owner)
	var seeds []string
	for _, h := range rest {
		seeds = append(seeds, h.PeerAddr())
	}
	late := idle(t, v, seeds...)
	for ident.Hash(late.PeerAddr()) < ident.Hash(rest[0].PeerAddr()) { // It must not have the lowest hash by chance.
		late = idle(t, v, seeds...)
	}
	owner.end()
	late.run(t)
	late.SetTable(tableOf(1), []byte("1"), "test")
	late.SetUpstreams(upstreams())
	late.AddPeers(seeds)
	live := append(rest, late)
	require.Eventually(t, func() bool {
		for _, h := range live {
			if n, _ := h.members.Count(); n != len(live) {
				return false
			}
		}
		return true
	}, waitTimeout, checkInterval)
	require.Less(t, time.Since(late.started), stageowner.JoinPeriod, "the daemons took too long to learn of each other for this test")
	require.Len(t, owners(live), 1)
}

// While no daemon has read the list of upstreams, which takes longer than stageowner.JoinPeriod if many read a long list from the
// store at once, none knows an owner among the others. Each must not take itself for the owner then, or as many
// owners as daemons begin to schedule the stage work.
func TestNoOwnershipWithoutUpstreams(t *testing.T) {
	var hosts []*running
	var seeds []string
	for range 3 {
		h := startWithout(t, &invoker{}, seeds...)
		h.SetTable(tableOf(1), []byte("1"), "test")
		hosts = append(hosts, h)
		seeds = append(seeds, h.PeerAddr())
	}
	for _, h := range hosts {
		h.AddPeers(seeds)
	}
	time.Sleep(stageowner.JoinPeriod + 3*syncInterval)
	for i, h := range hosts {
		require.Zero(t, h.members.Self().Term, "term of daemon %d", i)
	}
	first := make(map[string]bool)
	for _, h := range hosts {
		first[h.submitter.owner().PeerAddr] = true
	}
	require.Len(t, first, 1, "the daemons agree on the one that is to schedule the first jobs")
	for _, h := range hosts {
		h.SetUpstreams(upstreams())
	}
	agreed(t, hosts)
}
