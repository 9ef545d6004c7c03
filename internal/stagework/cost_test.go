package stagework

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// maxAddedCost is the processor time that waiting jobs may add to each job at the
	// daemon that owns the stage work. At overloadRate it amounts to 0.15 of a core: a
	// third of the users' smallest host, which has 0.464 of a core.
	maxAddedCost = 500 * time.Microsecond
	// raceCostFactor is how many times more processor time a run under the race detector
	// may take.
	raceCostFactor = 20
	// lowRate and overloadRate are in jobs per second. The upstreams can process 65.
	lowRate      = 20
	overloadRate = 300
)

// TestCost overloads the stages of a large deployment for some seconds and bounds the
// processor time that each job takes in addition to that at a low rate.
func TestCost(t *testing.T) {
	bound, runs := maxAddedCost, 3
	if raceEnabled {
		bound, runs = maxAddedCost*raceCostFactor, 1
	}
	low, overloaded := jobCost(t, lowRate, 25), jobCost(t, overloadRate, 5)
	for range runs - 1 { // Other work of the process only adds to the measurement.
		overloaded = min(overloaded, jobCost(t, overloadRate, 5))
	}
	t.Logf("%v of processor time per job, %v if many wait", low, overloaded)
	if overloaded-low > bound {
		t.Errorf("waiting jobs added %v of processor time to each, want at most %v", overloaded-low, bound)
	}
}

// jobCost returns the processor time per job, including that of the test harness.
func jobCost(t *testing.T, rate, seconds int) time.Duration {
	t.Helper()
	before := processorTime(t)
	synctest.Test(t, func(t *testing.T) {
		p := newScriptRun(t)
		for _, command := range largeDeploymentScript(rate, seconds) {
			p.command(strings.Fields(command))
		}
		p.finish(true)
	})
	return (processorTime(t) - before) / time.Duration(rate*seconds)
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatalf("Getrusage: %v", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// largeDeploymentScript returns the script of jobs that arrive at even intervals, half of
// them with a short objective.
func largeDeploymentScript(rate, seconds int) []string {
	lines := []string{
		"service render batch=8 call=200ms item=21ms memory=18000000 lifetime=3s",
		"service bill batch=34 call=200ms item=5ms memory=4500000 lifetime=3s",
		"service notify batch=46 call=200ms item=4ms memory=620000 lifetime=3s",
	}
	for i := range 18 {
		lines = append(lines, fmt.Sprintf("upstream r%02d render dc=d%d", i, i%3),
			fmt.Sprintf("upstream n%02d notify dc=d%d", i, i%3))
		if i < 15 {
			lines = append(lines, fmt.Sprintf("upstream b%02d bill dc=d%d", i, i%3))
		}
	}
	for i := range rate * seconds {
		at := time.Duration(i) * time.Second / time.Duration(rate)
		objective := 2 + 2*(i%2)
		lines = append(lines, fmt.Sprintf("job j%04d at=%v priority=%d objective=%ds deadline=%ds remaining=300ms hold=50ms dc=d%d "+
			"notify:4:6000 bill:6:60000<0 render:6:400000<1", i, at, i%3, objective, 4*objective, i%3))
	}
	return lines
}
