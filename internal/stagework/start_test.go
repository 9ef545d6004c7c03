package stagework

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// startRate is how many jobs a second arrive after a start of all daemons, in jobs per second.
const startRate = 100

// startServices are the stage services of a large deployment, with the upstreams of each per daemon.
var startServices = []struct {
	name       string
	perDaemon  float64
	definition string
}{
	{
		name:       "render",
		perDaemon:  1.15,
		definition: "service render batch=8 call=200ms item=21ms memory=18000000 lifetime=4s",
	},
	{
		name:       "bill",
		perDaemon:  1.9,
		definition: "service bill batch=16 call=200ms item=11ms memory=2100000 lifetime=4s",
	},
	{
		name:       "notify",
		perDaemon:  2.35,
		definition: "service notify batch=22 call=200ms item=7.8ms memory=290000 lifetime=4s",
	},
}

// firstJobsCost is what the first second of jobs costs a scheduler.
type firstJobsCost struct {
	queries   int
	calls     int
	notInTime []string      // jobs that were late, rejected or failed
	processor time.Duration // the harness included
}

// playFirstJobs submits the jobs of one second to a scheduler that knows the upstreams of a deployment, but nothing of
// their memory.
func playFirstJobs(t *testing.T, daemons int) firstJobsCost {
	t.Helper()
	var c firstJobsCost
	synctest.Test(t, func(t *testing.T) {
		p := newScriptRun(t)
		for _, s := range startServices {
			p.command(strings.Fields(s.definition))
			for i := range int(s.perDaemon * float64(daemons)) {
				p.addUpstream(fmt.Sprintf("%s%04d", s.name, i), s.name, map[string]string{
					"dc": fmt.Sprint("d", i%5),
				})
			}
		}
		p.setUpstreams()
		before := processorTime(t)
		for i := range startRate {
			p.command(strings.Fields(fmt.Sprintf("job j%03d at=%v priority=%d objective=2s deadline=8s remaining=300ms hold=50ms dc=d%d "+
				"notify:4:6000 bill:6:60000<0 render:6:400000<1", i, time.Duration(i)*time.Second/startRate, i%3, i%5)))
		}
		p.finish(true)
		c.processor = processorTime(t) - before
		c.queries, c.calls = p.fakes.memoryQueries, p.fakes.calls
		for _, line := range p.fakes.trace {
			if strings.Contains(line, " job ") && !strings.HasSuffix(line, "results") {
				c.notInTime = append(c.notInTime, line)
			}
		}
	})
	return c
}

// After a start of all daemons the new owner of the stage work knows nothing of the memory of the stage upstreams.
// Queries of all of them at once, each on a new connection, kept it from the jobs of the other daemons, so that these
// scheduled their jobs themselves and queried all upstreams, too. The queries must follow from the jobs instead: with the
// same jobs they may grow no steeper than the logarithm of the number of daemons, and all jobs are done in time.
func TestFirstJobsAmongManyUpstreams(t *testing.T) {
	const fewest = 30
	least := playFirstJobs(t, fewest)
	for _, daemons := range []int{fewest, 100, 341} {
		t.Run(fmt.Sprintf("daemons=%d", daemons), func(t *testing.T) {
			c := playFirstJobs(t, daemons)
			t.Logf("%d memory queries, %d calls, %v of processor time", c.queries, c.calls, c.processor)
			require.Empty(t, c.notInTime)
			growth := math.Log(float64(daemons)) / math.Log(fewest)
			require.LessOrEqual(t, float64(c.queries), growth*float64(least.queries))
		})
	}
}

// maxFirstJobCost is the processor time that the upstreams of 341 daemons may add to each of the first jobs, compared
// with those of 30 daemons. At startRate it amounts to 0.3 of a core. The users' smallest host has 0.464 of a core.
const maxFirstJobCost = 3 * time.Millisecond

// Each dispatch pass summed the capacity of all upstreams, although no job was late. With many upstreams the owner of
// the stage work was slow for that alone, after a start as at any other time.
func TestFirstJobsCost(t *testing.T) {
	bound, runs := maxFirstJobCost, 5
	if raceEnabled {
		bound, runs = maxFirstJobCost*raceCostFactor, 1
	}
	few, many := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for range runs { // Other work of the process only adds to the measurement.
		few = min(few, playFirstJobs(t, 30).processor)
		many = min(many, playFirstJobs(t, 341).processor)
	}
	added := (many - few) / startRate
	t.Logf("%v of processor time added to each job", added)
	require.LessOrEqual(t, added, bound)
}
