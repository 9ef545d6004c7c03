package entryhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/routing"
)

// TestSuspendedOwnerYields guards against a daemon that owned the stage work before a suspension and goes on to schedule
// it beside the one that has replaced it.
func TestSuspendedOwnerYields(t *testing.T) {
	hosts := cluster(t, &invoker{})
	owner := agreed(t, hosts)
	rest := without(hosts, owner)
	rest[0].submitter.yieldAfterSuspension(heartbeatTimeout + time.Second)
	require.Equal(t, owner.members.Self().Incarnation, rest[0].submitter.owner().Incarnation, "another daemon was suspended")
	owner.submitter.yieldAfterSuspension(heartbeatTimeout)
	require.True(t, owner.submitter.owns(), "the others have not replaced it")
	owner.submitter.yieldAfterSuspension(heartbeatTimeout + time.Second)
	successor := owner.submitter.owner().Incarnation
	require.NotEqual(t, owner.members.Self().Incarnation, successor)
	time.Sleep(avoidTime)
	require.True(t, owner.submitter.owns(), "none has replaced it")
	owner.end()
	require.Equal(t, successor, agreed(t, rest).members.Self().Incarnation, "the one that the others choose")
}

// TestLatePassYields guards against a suspension that the periodic task does not notice. A table that takes long to decode
// delays that task in place of a suspension.
func TestLatePassYields(t *testing.T) {
	var hosts []*running
	for range 2 {
		h := idle(t, &invoker{})
		h.cfg.DecodeTable = func(raw []byte) (*routing.Table, error) {
			time.Sleep(heartbeatTimeout + 500*time.Millisecond)
			return decodeVersion(raw)
		}
		h.SetTable(tableOf(1), []byte("1"), "test")
		h.SetUpstreams(upstreams())
		h.run(t)
		hosts = append(hosts, h)
	}
	hosts[0].AddPeers([]string{hosts[1].PeerAddr()})
	owner := agreed(t, hosts)
	without(hosts, owner)[0].SetTable(tableOf(2), []byte("2"), "test")
	require.Eventually(t, func() bool { return !owner.submitter.owns() }, waitTimeout, checkInterval)
}

// TestDoubtedEvacuationOutlivesSuspension guards against an evacuation that ends because the time in which the operator may
// write it again passed during a suspension, before the daemon reads that.
func TestDoubtedEvacuationOutlivesSuspension(t *testing.T) {
	const dataCentre = "dc"
	d := startWithout(t, &invoker{})
	doubt := func(late time.Duration) {
		until := time.Now().Add(-late)
		d.mu.Lock()
		d.evacuated[dataCentre] = until
		d.mu.Unlock()
		d.endDoubted(dataCentre, until)
	}
	d.SetEvacuated(dataCentre, true)
	doubt(10 * time.Second)
	require.Equal(t, []string{dataCentre}, d.Evacuated())
	doubt(0)
	require.Empty(t, d.Evacuated())
}
