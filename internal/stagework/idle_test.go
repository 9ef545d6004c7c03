package stagework

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Every daemon has a scheduler, but only one has jobs: the others must leave the
// upstreams alone.
func TestSchedulerWithoutJobsAsksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t)
		for _, line := range largeDeploymentScript(0, 0) {
			p.line(strings.Fields(line))
		}
		synctest.Wait()
		require.Zero(t, p.fakes.memoryQueries)
		p.line(strings.Fields("job j1 objective=2s deadline=4s notify:4:6000"))
		p.finish(true)
		require.Positive(t, p.fakes.memoryQueries)
	})
}
