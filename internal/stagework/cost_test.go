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
	// mostCost is the processor time that waiting jobs may add to each job at the daemon
	// that owns all stage upstreams: a third of the users' smallest host, 0.464 of a core,
	// at crowdedRate.
	maxAddedCost = 500 * time.Microsecond
	// raceCost is how much more a run under the race detector may take.
	raceCostFactor = 20
	// calmRate and crowdedRate are in jobs a second; the upstreams can do 65.
	lowRate      = 20
	overloadRate = 300
)

// TestCost has the stages of a grown deployment overloaded for some seconds and bounds
// the processor time that a job takes more than on a calm day.
func TestCost(t *testing.T) {
	bound, runs := maxAddedCost, 3
	if raceEnabled {
		bound, runs = maxAddedCost*raceCostFactor, 1
	}
	calm, crowded := jobCost(t, lowRate, 25), jobCost(t, overloadRate, 5)
	for range runs - 1 { // What else the process does only adds.
		crowded = min(crowded, jobCost(t, overloadRate, 5))
	}
	t.Logf("%v of processor time a job, %v if many wait", calm, crowded)
	if crowded-calm > bound {
		t.Errorf("waiting jobs added %v of processor time to each, want at most %v", crowded-calm, bound)
	}
}

// jobCost returns the processor time that a job takes, with the play around it.
func jobCost(t *testing.T, rate, seconds int) time.Duration {
	t.Helper()
	before := processorTime(t)
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t)
		for _, line := range largeDeploymentScript(rate, seconds) {
			p.line(strings.Fields(line))
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

// grownScript returns the script of jobs that come evenly, half of them to be done soon.
func largeDeploymentScript(rate, seconds int) []string {
	lines := []string{
		"service render batch=8 call=200ms item=21ms room=18000000 lifetime=3s",
		"service bill batch=34 call=200ms item=5ms room=4500000 lifetime=3s",
		"service notify batch=46 call=200ms item=4ms room=620000 lifetime=3s",
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
