package stagework

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Every daemon has a scheduler, but only that of the owner has jobs: the others must not
// query the upstreams.
func TestSchedulerWithoutJobsSendsNoMemoryQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newScriptRun(t)
		for _, command := range largeDeploymentScript(0, 0) {
			p.command(strings.Fields(command))
		}
		synctest.Wait()
		require.Zero(t, p.fakes.memoryQueries)
		p.command(strings.Fields("job j1 objective=2s deadline=4s notify:4:6000"))
		p.finish(true)
		require.Positive(t, p.fakes.memoryQueries)
	})
}
