package daemon

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"sequoiafork/internal/pipeline"
)

type panickingInvoker struct{}

func (panickingInvoker) Invoke(context.Context, pipeline.Call) (pipeline.Reply, error) {
	panic("fault")
}

// TestPanicInAnInvokerFailsOnlyTheCall guards against a process that ends because one response can't be decoded, and
// against a call that counts as not run although it was sent.
func TestPanicInAnInvokerFailsOnlyTheCall(t *testing.T) {
	_, err := containedInvoker{
		invoker: panickingInvoker{},
		logger:  zap.NewNop(),
	}.Invoke(t.Context(), pipeline.Call{
		Addr: "192.0.2.1:1",
	})
	var failed *pipeline.CallError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, pipeline.MayHaveRun, failed.Execution)
}
