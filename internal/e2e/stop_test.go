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
	// drainNotice is how long a draining daemon accepts requests beyond addressTTL.
	drainNotice = 2 * time.Second
	// stopSlack is how much longer than the configured times a stop may take.
	stopSlack = 4 * time.Second
	// issuedValid is how long a system-issued key is valid.
	issuedKeyTTL = 30 * time.Second
)

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(sig))
}

// waitExit waits until the process has exited by itself and returns its exit code.
func (p *process) waitExit(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		require.FailNow(t, "the process has not exited by itself", "within %s", limit)
	}
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.ExitCode()
}

// restart stops daemons with SIGTERM at the same time and starts them again once all
// have exited by themselves.
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

// reuseConnections makes the callers use keep-alive connections, as real callers do.
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

// TestStopRollingRestart restarts daemons one after another or two at once under load.
// Every request must be answered.
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

// TestStopWithLateRequests sends requests to a stopping daemon whose non-idempotent stage
// runs far beyond the time at which the daemon stops accepting requests. Further signals
// must change nothing.
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
		d.signal(t, []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGUSR1}[i%4])
	}
	time.Sleep(time.Until(began.Add(addressTTL + drainNotice + 300*time.Millisecond)))
	refused := c.do(t.Context(), dispatchCall("after", "after"))
	require.Contains(t, []string{notRun, connectionLost}, refused.outcome, refused)
	d.signal(t, syscall.SIGHUP)
	d.signal(t, syscall.SIGTERM)
	for _, ch := range late {
		r := <-ch
		require.Equal(t, answered, r.outcome, r)
	}
	require.Zero(t, d.waitExit(t, stopSlack))
	t.Logf("stopped after %s", time.Since(began).Round(time.Millisecond))
	c.check(t)
}

// TestStopWithHungUpstream stops a daemon whose requests never end by themselves. The
// daemon waits for them for the grace period, and callers receive the outcome unknown.
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

// TestStopKeepsIssuedKeys uses keys of stopping daemons shortly before the keys expire:
// one was issued before the signal, and one after it by another daemon that had issued
// none before.
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

// useNewKey sends a request with a key that the daemon issues or, if it issues none,
// the last daemon.
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
