package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/standinapi"
)

const (
	// editSnapshotInterval and editRetainRecords, in records, are small enough for the
	// log to discard everything before a snapshot several times in a run.
	editSnapshotInterval = 20
	editRetainRecords    = 60
)

// withLogAddr returns a copy of the cluster with another address of the same log, such
// as that of a forwarder. Daemons started with the copy join the others.
func (c *cluster) withLogAddr(addr string) *cluster {
	return &cluster{
		config: c.config,
		log: &standin{
			process: c.log.process,
			addr:    addr,
			api:     c.log.api,
		},
		hosts:     c.hosts,
		upstreams: c.upstreams,
		daemons:   c.daemons,
	}
}

// setLogFaults sets the faults of the log and keeps the retention of these tests.
func (c *cluster) setLogFaults(t *testing.T, faults standinapi.Faults) {
	t.Helper()
	faults.RetainRecords = standinapi.NewOptInt64(editRetainRecords)
	c.log.setFaults(t, faults)
}

// TestEditsUnderFaults runs operators that edit concurrently through all daemons while
// the log loses responses and fails, one daemon is disconnected from the log, one is
// suspended, and one starts during the outage of the log.
func TestEditsUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, config{
				upstreams:     1,
				snapshotEvery: editSnapshotInterval,
			})
			link := startForwarder(t, c.log.addr)
			c.daemons = append(c.daemons, startDaemon(t, c.withLogAddr(link.addr)))
			for _, d := range c.daemons {
				d.waitReady(t)
			}
			c.setLogFaults(t, standinapi.Faults{})
			o := c.startOperators(t, 16, seed)
			suspended := c.injectEditFaults(t, o, link)
			o.finish(t)
			o.check(t, suspended)
		})
	}
}

// injectEditFaults injects the faults and returns the interval in which daemon 1 was
// suspended.
func (c *cluster) injectEditFaults(t *testing.T, o *operators, link *forwarder) outage {
	t.Helper()
	time.Sleep(time.Second)
	c.loseReplies(t, 4)
	link.set(linkFault{
		cut: true,
	})
	time.Sleep(time.Second)
	c.daemons[1].suspend(t)
	suspended := outage{
		daemon: 1,
		from:   time.Now(),
	}
	c.loseReplies(t, 6)
	time.Sleep(time.Second)
	c.daemons[1].resume(t)
	suspended.to = time.Now()
	time.Sleep(time.Second)
	c.setLogFaults(t, standinapi.Faults{
		Down: standinapi.NewOptBool(true),
	})
	c.startReader(t, o)
	time.Sleep(500 * time.Millisecond)
	c.setLogFaults(t, standinapi.Faults{})
	time.Sleep(time.Second)
	link.set(linkFault{})
	time.Sleep(time.Second)
	return suspended
}

// loseReplies makes the log lose three responses, the given number of times.
func (c *cluster) loseReplies(t *testing.T, times int) {
	t.Helper()
	for range times {
		c.setLogFaults(t, standinapi.Faults{
			LoseReplies: standinapi.NewOptInt(3),
		})
		time.Sleep(250 * time.Millisecond)
	}
	c.setLogFaults(t, standinapi.Faults{})
}

// startReader starts one more daemon, which must get the tables from its peers because
// the log is down, and polls its tables from then on.
func (c *cluster) startReader(t *testing.T, o *operators) {
	t.Helper()
	began := time.Now()
	d := startDaemon(t, c)
	d.waitReady(t)
	d.setOperatorTimeout(t)
	t.Logf("a daemon that started during the outage was ready after %s", time.Since(began).Round(time.Millisecond))
	require.Less(t, time.Since(began), maxApplyTime)
	o.watch(len(c.daemons), d)
	c.daemons = append(c.daemons, d)
}
