package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/callerapi"
	"sequoiafork/internal/wire/standinapi"
)

const (
	addressTTL = 500 * time.Millisecond
	// noticeTime is what a drain adds to the time that callers keep an address.
	drainNotice = 2 * time.Second
	// stopSlack is what a stop may take over the times that are stated.
	stopSlack = 4 * time.Second
	// issuedValid is how long a system-issued key is valid.
	issuedKeyTTL = 30 * time.Second
)

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(sig))
}

// waitExit waits until the process has ended by itself and returns its exit code.
func (p *process) waitExit(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		require.FailNow(t, "the process has not ended by itself", "within %s", limit)
	}
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.ExitCode()
}

// restart stops daemons with SIGTERM at the same moment and starts each again once
// it has ended by itself.
func restart(t *testing.T, daemons ...*daemon) {
	t.Helper()
	for _, d := range daemons {
		d.signal(t, syscall.SIGTERM)
	}
	began := time.Now()
	for _, d := range daemons {
		require.Zero(t, d.waitExit(t, addressTTL+drainNotice+routeDeadline+stopSlack), "exit code of %s", d.Operator)
	}
	t.Logf("stopped after %s", time.Since(began).Round(time.Millisecond))
	for _, d := range daemons {
		d.start(t)
		d.waitReady(t)
	}
}

// keepConnections makes the callers use their connections again, as callers do.
func (c *cluster) reuseConnections(t *testing.T) {
	t.Helper()
	for _, d := range c.daemons {
		client, err := callerapi.NewClient("http://"+d.Caller, callerapi.WithClient(&http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		}))
		require.NoError(t, err)
		d.callers = client
	}
}

func stopConfig() config {
	return config{
		addressTTL: addressTTL,
	}
}

func TestStopRollingRestart(t *testing.T) {
	t.Parallel()
	for name, batches := range map[string][][]int{
		"one after another": {{0}, {1}, {2}},
		"two at once":       {{0, 1}, {2}, {1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, stopConfig())
			c.reuseConnections(t)
			load := c.startCallers(t, 8, callerSeed)
			time.Sleep(addressTTL)
			for _, batch := range batches {
				var daemons []*daemon
				for _, i := range batch {
					daemons = append(daemons, c.daemons[i])
				}
				restart(t, daemons...)
				time.Sleep(addressTTL)
			}
			load.finish(t)
			c.check(t)
		})
	}
}

// TestStopDuringLogOutage restarts a daemon while the log is down.
func TestStopDuringLogOutage(t *testing.T) {
	t.Parallel()
	c := startCluster(t, stopConfig())
	c.reuseConnections(t)
	load := c.startCallers(t, 8, callerSeed)
	load.withoutClaims.Store(true)
	time.Sleep(routeDeadline / 4)
	c.log.setFaults(t, standinapi.Faults{
		Down: standinapi.NewOptBool(true),
	})
	restart(t, c.daemons[0])
	restart(t, c.daemons[1])
	c.log.setFaults(t, standinapi.Faults{})
	load.finish(t)
	c.check(t)
}

// TestStopWithLateRequests sends requests whose stage that may not be repeated
// runs far beyond the moment at which a stopping daemon takes no more. Further
// signals change nothing.
func TestStopWithLateRequests(t *testing.T) {
	t.Parallel()
	cfg := stopConfig()
	cfg.commitArgs = []string{"-service-ms", "2500"}
	c := startCluster(t, cfg)
	d := c.daemons[0]
	d.signal(t, syscall.SIGTERM)
	began := time.Now()
	time.Sleep(addressTTL)
	var late []<-chan callResult
	for i := range 6 {
		req := dispatchCall(fmt.Sprintf("late %d", i), "")
		if i%2 == 0 {
			req.key = fmt.Sprintf("late-%d", i)
		}
		late = append(late, c.startCall(t.Context(), req))
		time.Sleep(time.Until(began.Add(addressTTL + time.Duration(i+1)*300*time.Millisecond)))
		d.signal(t, []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}[i%2])
	}
	time.Sleep(time.Until(began.Add(addressTTL + drainNotice + 300*time.Millisecond)))
	refused := c.do(t.Context(), dispatchCall("after", "after"))
	require.Contains(t, []string{notRun, connectionLost}, refused.outcome, refused)
	d.signal(t, syscall.SIGTERM)
	for _, ch := range late {
		r := <-ch
		require.Equal(t, answered, r.outcome, r)
	}
	require.Zero(t, d.waitExit(t, stopSlack))
	t.Logf("stopped after %s", time.Since(began).Round(time.Millisecond))
	c.check(t)
}

// TestStopWithHungUpstream stops a daemon whose requests never end by themselves.
// It waits for them as long as its settings say, and their callers are told.
func TestStopWithHungUpstream(t *testing.T) {
	t.Parallel()
	cfg := stopConfig()
	cfg.grace = 3 * time.Second
	c := startCluster(t, cfg)
	for _, s := range c.upstreams["service"] {
		s.setFaults(t, standinapi.Faults{
			Hang: standinapi.NewOptBool(true),
		})
	}
	began := time.Now()
	first := c.startCall(t.Context(), dispatchCall("hung", "hung"))
	c.daemons[0].signal(t, syscall.SIGTERM)
	require.Zero(t, c.daemons[0].waitExit(t, addressTTL+drainNotice+cfg.grace+stopSlack))
	t.Logf("stopped after %s", time.Since(began).Round(time.Millisecond))
	r := <-first
	require.Equal(t, unknown, r.outcome, r)
	for _, s := range c.upstreams["service"] {
		s.setFaults(t, standinapi.Faults{})
	}
	c.check(t)
}

// TestStopKeepsIssuedKeys uses keys of stopping daemons late in their time: one
// issued before the signal, and one by another daemon, whose first it is, after.
func TestStopKeepsIssuedKeys(t *testing.T) {
	t.Parallel()
	c := startCluster(t, stopConfig())
	before := dispatchCall("before", c.daemons[0].issueKey(t))
	began := time.Now()
	c.daemons[0].signal(t, syscall.SIGTERM)
	c.daemons[1].signal(t, syscall.SIGTERM)
	time.Sleep(addressTTL)
	during := dispatchCall("during", c.daemons[1].issueKey(t))
	time.Sleep(time.Until(began.Add(addressTTL + drainNotice + time.Second)))
	for i, d := range c.daemons {
		c.useNewKey(t, i, d)
	}
	time.Sleep(time.Until(began.Add(issuedKeyTTL - 2*time.Second)))
	for _, req := range []call{before, during} {
		for _, r := range c.doAll(t.Context(), c.callsToAll(req)...) {
			require.Equal(t, answered, r.outcome, r)
		}
	}
	for _, d := range c.daemons[:2] {
		require.Zero(t, d.waitExit(t, time.Until(began.Add(issuedKeyTTL+drainNotice+addressTTL+stopSlack))))
		t.Logf("stopped after %s", time.Since(began).Round(time.Millisecond))
	}
	c.check(t)
}

// useKeyOfAny sends a request with a key from a daemon, or if that issues none, from
// the last one.
func (c *cluster) useNewKey(t *testing.T, i int, d *daemon) {
	t.Helper()
	key, err := d.callers.IssueKey(t.Context())
	if err != nil {
		key, err = c.daemons[len(c.daemons)-1].callers.IssueKey(t.Context())
	}
	require.NoError(t, err)
	for _, r := range c.doAll(t.Context(), c.callsToAll(dispatchCall(fmt.Sprintf("any %d", i), key.Key))...) {
		require.Equal(t, answered, r.outcome, r)
	}
}
